// Program of the platform stand-in.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdint>
#include <cstdio>
#include <string>

#include "net/event_loop.h"
#include "platform_standin.h"

ABSL_FLAG(std::string, address, "127.0.0.1:9000", "Address to listen on.");
ABSL_FLAG(int64_t, host_list_lag_ms, 0,
          "Delay in milliseconds until the host list shows a change.");

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const auto address =
      mimosadeal::ParseSocketAddress(absl::GetFlag(FLAGS_address));
  if (!address.has_value()) return 2;
  mimosadeal::EventLoop loop(mimosadeal::EventLoopOptions{});
  const auto standin = mimosadeal::PlatformStandin::Listen(
      loop, {address.value(),
             std::chrono::milliseconds(absl::GetFlag(FLAGS_host_list_lag_ms))});
  if (!standin.has_value()) {
    std::fprintf(stderr, "%s\n", standin.error().message.c_str());
    return 1;
  }
  loop.Run();
  return 0;
}
