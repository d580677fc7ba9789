#include "net/fd_watch.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <utility>

#include "common/log.h"
#include "net/event_loop.h"

namespace mimosadeal {

FdWatch::FdWatch(EventLoop& loop, int fd, Callbacks callbacks)
    : loop_(loop), fd_(fd), callbacks_(std::move(callbacks)) {
  lws_sock_file_fd_type descriptor{};
  descriptor.filefd = fd;
  if (loop.MayWatch()) {
    wsi_ = lws_adopt_descriptor_vhost(loop.descriptor_vhost(),
                                      LWS_ADOPT_RAW_FILE_DESC, descriptor,
                                      kFdWatchProtocol, nullptr);
  }
  if (wsi_ != nullptr) {
    loop.NoteWatched();
    lws_set_opaque_user_data(wsi_, this);
    return;
  }
  // The process cannot do without the others, which are opened at its start.
  if (callbacks_.on_closed == nullptr) std::abort();
  close(std::exchange(fd_, -1));
  ReportClosed(EMFILE);
}

FdWatch::~FdWatch() {
  if (wsi_ == nullptr) return;
  lws_set_opaque_user_data(wsi_, nullptr);
  lws_set_timeout(wsi_, PENDING_TIMEOUT_KILLED_BY_PARENT, LWS_TO_KILL_ASYNC);
}

void FdWatch::RequestWritable() {
  if (in_writable_) {
    writable_requested_ = true;
  } else if (wsi_ != nullptr) {
    lws_callback_on_writable(wsi_);
  }
}

void FdWatch::RunWritableCallback() {
  const std::weak_ptr<char> alive = alive_;
  in_writable_ = true;
  writable_requested_ = false;
  callbacks_.on_writable();
  if (alive.expired()) return;
  in_writable_ = false;
  if (!writable_requested_) return;
  // libwebsockets ignores a request that is made during the callback.
  loop_.Post([this, alive] {
    if (!alive.expired()) RequestWritable();
  });
}

void FdWatch::NoteClosed() {
  int error = 0;
  socklen_t length = sizeof(error);
  getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &length);
  wsi_ = nullptr;
  fd_ = -1;
  if (callbacks_.on_closed == nullptr) {
    Log(LogPart::kServer)
        .error("a descriptor without a handler for its end was closed: {}",
               std::strerror(error));
    return;
  }
  // Deferred, because libwebsockets is still closing the descriptor.
  ReportClosed(error);
}

void FdWatch::ReportClosed(int error) {
  const std::weak_ptr<char> alive = alive_;
  loop_.Post([this, alive, error] {
    if (!alive.expired()) callbacks_.on_closed(error);
  });
}

int FdWatchCallback(lws* wsi, lws_callback_reasons reason, void* /*user*/,
                    void* /*in*/, size_t /*length*/) {
  if (wsi == nullptr) return 0;
  auto* watch = static_cast<FdWatch*>(lws_get_opaque_user_data(wsi));
  switch (reason) {
    case LWS_CALLBACK_RAW_RX_FILE:
      if (watch == nullptr) return -1;
      watch->callbacks_.on_readable();
      return 0;
    case LWS_CALLBACK_RAW_WRITEABLE_FILE:
      if (watch == nullptr) return -1;
      if (watch->callbacks_.on_writable) watch->RunWritableCallback();
      return 0;
    case LWS_CALLBACK_RAW_CLOSE_FILE:
      static_cast<EventLoop*>(lws_context_user(lws_get_context(wsi)))
          ->NoteUnwatched();
      if (watch != nullptr) watch->NoteClosed();
      return 0;
    default:
      return 0;
  }
}

}  // namespace mimosadeal
