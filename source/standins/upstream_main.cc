// Program of the upstream stand-in.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdint>
#include <cstdio>
#include <string>

#include "net/event_loop.h"
#include "upstream_standin.h"

ABSL_FLAG(std::string, address, "127.0.0.1:9100", "Address to listen on.");
ABSL_FLAG(std::string, id, "upstream", "Name of the upstream in records.");
ABSL_FLAG(int, slots, 2, "Number of requests that run at the same time.");
ABSL_FLAG(bool, checks_grants, true, "Refuse requests that no grant covers.");
ABSL_FLAG(int64_t, work_us, 2000,
          "Mean time in microseconds to run a request.");
ABSL_FLAG(std::string, record, "", "File to append executions to.");
ABSL_FLAG(uint64_t, seed, 1, "Seed of the random times to run requests.");

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const auto address =
      mimosadeal::ParseSocketAddress(absl::GetFlag(FLAGS_address));
  if (!address.has_value()) return 2;
  mimosadeal::EventLoop loop(mimosadeal::EventLoopOptions{});
  mimosadeal::UpstreamStandinOptions options;
  options.address = address.value();
  options.id = absl::GetFlag(FLAGS_id);
  options.slots = absl::GetFlag(FLAGS_slots);
  options.checks_grants = absl::GetFlag(FLAGS_checks_grants);
  options.work = std::chrono::microseconds(absl::GetFlag(FLAGS_work_us));
  options.record_path = absl::GetFlag(FLAGS_record);
  options.seed = absl::GetFlag(FLAGS_seed);
  const auto standin =
      mimosadeal::UpstreamStandin::Listen(loop, std::move(options));
  if (!standin.has_value()) {
    std::fprintf(stderr, "%s\n", standin.error().message.c_str());
    return 1;
  }
  loop.Run();
  return 0;
}
