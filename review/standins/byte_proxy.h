// A TCP proxy that replaces a word of the target's answers by another of the
// same length, so that the framing of the messages stays.
#pragma once

#include <limits>
#include <list>
#include <memory>
#include <string>

#include "net/fd_watch.h"
#include "net/socket_address.h"
#include "net/tcp_stream.h"

namespace mimosadeal::review {

class ByteProxy {
 public:
  // Errors: kIo if the address cannot be listened on.
  static Result<std::unique_ptr<ByteProxy>> Open(EventLoop& loop,
                                                 const SocketAddress& listen,
                                                 const SocketAddress& target);
  // `from` and `to` have the same length. Applies to each `one_in`-th
  // occurrence in what the target sends, `most` times in all.
  void Replace(std::string from, std::string to, int one_in = 1,
               int most = std::numeric_limits<int>::max());
  // How often the word was replaced.
  int replaced() const { return replaced_; }

 private:
  struct Pair;

  ByteProxy(EventLoop& loop, SocketAddress target);
  void OnAcceptable();
  void Close(Pair* pair);
  std::string Rewrite(std::string_view bytes);

  EventLoop& loop_;
  SocketAddress target_;
  std::unique_ptr<FdWatch> listener_;
  std::list<std::shared_ptr<Pair>> pairs_;
  std::string from_;
  std::string to_;
  int one_in_ = 1;
  int most_ = 0;
  int seen_ = 0;
  int replaced_ = 0;
};

}  // namespace mimosadeal::review
