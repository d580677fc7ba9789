// The interface to a deployment's protocol: its names, decoders and encoders.
// The implementation of the protocol fills it in, so that the router does not
// depend on the names of any deployment.
#pragma once

#include <functional>
#include <string>

#include "common/error.h"
#include "fleet/upstream_record.h"
#include "forwarding/caller_request.h"
#include "forwarding/deployment_bounds.h"
#include "forwarding/key_commands.h"
#include "forwarding/refusal.h"
#include "net/exchange_client.h"
#include "routing/route_table.h"
#include "store/store_protocol.h"

namespace mimosadeal {

struct DeploymentProtocol {
  StoreProtocol store;
  std::string configuration_kind;
  std::string configuration_name;
  std::string registry_kind;
  // Objects named like the availability zones that are to be evacuated.
  std::string evacuation_kind;

  // The functions that return a Result fail with kMalformed.
  Result<RouteTable> (*read_configuration)(const nlohmann::json& content);
  Result<UpstreamRecord> (*read_registration)(const StoredObject& object);
  Result<DeploymentBounds> (*read_bounds)(const std::string& text);
  Result<CallerRequest> (*read_request)(HttpRequest&& request);

  // `time_left`: the time that the upstream has for its response.
  // `upstream_id`: the only upstream that may run the request.
  ExchangeRequest (*write_request)(const CallerRequest& request,
                                   Duration time_left,
                                   const std::string& upstream_id);
  // Returns what ExchangeRequest::accepts_response needs to be for a request of
  // a caller with this id.
  std::function<bool(const HttpResponse&, bool reused)> (*response_filter)(
      const std::string& request_id);
  UpstreamResponse (*read_response)(HttpResponse&& response);
  HttpResponse (*write_refusal)(const Refusal& refusal);

  // `upstream_id`: the only upstream that may execute the command.
  ExchangeRequest (*write_grant)(const GrantCommand& command,
                                 const std::string& upstream_id);
  ExchangeRequest (*write_release)(const ReleaseCommand& command,
                                   const std::string& upstream_id);
  CommandReply (*read_command_reply)(const HttpResponse& response);

  bool (*is_readiness_probe)(const HttpRequest& request);
};

}  // namespace mimosadeal
