#include "byte_proxy.h"

#include <sys/socket.h>

#include <utility>

#include "net/event_loop.h"

namespace mimosadeal::review {

struct ByteProxy::Pair {
  std::unique_ptr<TcpStream> client;
  std::unique_ptr<TcpStream> target;
};

ByteProxy::ByteProxy(EventLoop& loop, SocketAddress target)
    : loop_(loop), target_(std::move(target)) {}

Result<std::unique_ptr<ByteProxy>> ByteProxy::Open(
    EventLoop& loop, const SocketAddress& listen, const SocketAddress& target) {
  BOOST_OUTCOME_TRY(fd, ListenTcp(listen));
  std::unique_ptr<ByteProxy> proxy(new ByteProxy(loop, target));
  ByteProxy* self = proxy.get();
  proxy->listener_ = std::make_unique<FdWatch>(
      loop, fd, FdWatch::Callbacks{[self] { self->OnAcceptable(); }, nullptr});
  return proxy;
}

void ByteProxy::Replace(std::string from, std::string to, int one_in,
                        int most) {
  from_ = std::move(from);
  to_ = std::move(to);
  one_in_ = one_in;
  most_ = most;
}

void ByteProxy::OnAcceptable() {
  const int fd =
      accept4(listener_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) return;
  auto pair = std::make_shared<Pair>();
  Pair* raw = pair.get();
  auto target = TcpStream::Connect(loop_, target_,
                                   {nullptr,
                                    [this, raw](std::string_view bytes) {
                                      if (raw->client != nullptr)
                                        raw->client->Write(Rewrite(bytes));
                                    },
                                    [this, raw](StreamEnd) { Close(raw); }});
  pair->client = std::make_unique<TcpStream>(
      loop_, fd,
      TcpStreamHandlers{nullptr,
                        [raw](std::string_view bytes) {
                          if (raw->target != nullptr) raw->target->Write(bytes);
                        },
                        [this, raw](StreamEnd) { Close(raw); }});
  if (target.has_value()) pair->target = std::move(target.value());
  pairs_.push_back(std::move(pair));
}

void ByteProxy::Close(Pair* pair) {
  // Later, because a handler of one of the streams is running.
  loop_.Post([this, pair] {
    pairs_.remove_if([pair](const std::shared_ptr<Pair>& entry) {
      return entry.get() == pair;
    });
  });
}

std::string ByteProxy::Rewrite(std::string_view bytes) {
  std::string text(bytes);
  if (from_.empty()) return text;
  for (size_t at = text.find(from_); at != std::string::npos;
       at = text.find(from_, at + to_.size())) {
    if (++seen_ % one_in_ != 0 || replaced_ >= most_) continue;
    text.replace(at, to_.size(), to_);
    ++replaced_;
  }
  return text;
}

}  // namespace mimosadeal::review
