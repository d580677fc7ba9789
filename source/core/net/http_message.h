// HTTP requests and responses as plain structs, shared by servers and clients.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mimosadeal {

class ByteHold;

struct HttpHeader {
  std::string name;  // Lower case.
  std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

// Returns the value of the first header called `name` (lower case), or an empty
// view.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

struct HttpRequest {
  std::string method;
  // Without the query. HttpServer decodes it, HttpRequestParser does not.
  std::string path;
  std::string query;  // Without the question mark.
  HttpHeaders headers;
  std::string body;
  // The request target as received. Not set by HttpServer.
  std::string target{};
  // Counts the body's bytes for as long as they are kept; null if nobody does.
  std::shared_ptr<ByteHold> hold{};
};

struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  HttpHeaders headers;  // Besides content-type and content-length.
  std::string body;
  // Sends half of the body and then closes the connection, like a server that
  // crashes while it sends. Only HttpServer honours it, for the simulated
  // upstreams of source/standins.
  bool truncate_body = false;
};

// Percent-encodes every byte of `path` that RFC 3986 does not allow in a path.
std::string EncodePath(std::string_view path);

// Percent-encodes every byte but the unreserved characters of RFC 3986, so that
// the result is one segment of a path, or one value of a query.
std::string EncodeComponent(std::string_view text);

}  // namespace mimosadeal
