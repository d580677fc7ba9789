// State of one connection in ExchangeServer; shared by the files that implement
// the class.
#pragma once

#include <memory>
#include <string>

#include "net/byte_budget.h"
#include "net/exchange_server.h"
#include "net/piece_buffer.h"
#include "net/tcp_stream.h"

namespace mimosadeal {

struct ExchangeServer::Connection {
  uint64_t id = 0;
  std::unique_ptr<TcpStream> stream;
  std::unique_ptr<HttpRequestParser> parser;
  std::string input;  // Not parsed yet.
  // What arrived behind `input` while a request waited for its response.
  PieceBuffer pipelined;
  ExchangeId exchange = 0;  // 0 while no request waits for its response.
  bool head_request = false;
  bool client_keeps_alive = true;
  bool continue_sent = false;
  bool closing = false;
  // More pipelined bytes arrived than are stored. They are dropped, and the
  // next response closes the connection, so that the caller sends them again.
  bool input_overflow = false;
  // When the connection became idle, or its current request began.
  MonotonicTime state_since = kNever;
  uint64_t received = 0;  // Bytes in all.
  // Null without a budget. That of a complete request goes with its body.
  std::shared_ptr<ByteHold> request_hold;
  std::shared_ptr<ByteHold> response_hold;
  // Of the request that is being read, or of the unread response.
  TransferProgress progress;

  // Whether a request has begun to arrive that is not complete.
  bool reading() const {
    return exchange == 0 && !closing && parser != nullptr;
  }
  bool has_input() const { return !input.empty() || !pipelined.empty(); }
  uint64_t moved() const { return received + stream->bytes_sent(); }
};

}  // namespace mimosadeal
