// Valid texts of the platform, for the tests of its codecs.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "net/http_message.h"
#include "store/stored_object.h"

namespace mimosadeal::platform {

inline constexpr char kConfiguration[] = R"({
  "version": "r12",
  "services": [
    {"name": "yard", "healthPath": "/health", "maxConnections": 295,
     "sharded": true, "warm": "2s"},
    {"name": "desk", "healthPath": "/health", "maxConnections": 295}],
  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000,
             "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
  "virtualHosts": [{"host": "lots.example", "paths": [
    {"name": "lookup", "pathPrefix": "/a/", "kind": "safe",
     "timeout": "2000ms", "targetLatency": "600ms", "priority": 1,
     "maxAttempts": 2,
     "trafficSplit": [{"service": "yard", "weight": 90},
                      {"service": "desk", "weight": 10}]},
    {"name": "hold", "pathPrefix": "/a/b/", "kind": "unsafe",
     "timeout": "2.5s", "service": "yard"}]}]})";

inline constexpr char kRegistration[] =
    R"({"service":"yard","address":"10.1.0.9:8080","zone":"north",)"
    R"("version":"v1","slots":2,"state":"ready","warmupLeft":"250ms",)"
    R"("seq":4,"born":1767225600000})";

inline constexpr char kList[] =
    R"({"items":[{"metadata":{"name":"a","rev":5},"spec":{"x":1}},)"
    R"({"metadata":{"name":"b","rev":6},"spec":{}}],"more":true,"asOf":9})";

inline constexpr char kChanges[] =
    R"({"events":[{"removed":true,"object":{"metadata":{"name":"a","rev":7},)"
    R"("spec":{}}}],"asOf":9})";

inline HttpResponse Response(int status, std::string body = "") {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

inline StoredObject Registration(const std::string& text) {
  StoredObject object;
  object.name = "i-1";
  object.content = nlohmann::json::parse(text, nullptr, false);
  return object;
}

}  // namespace mimosadeal::platform
