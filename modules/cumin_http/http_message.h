#pragma once

#include <memory>
#include <string>
#include <vector>

namespace cumin {

/** One HTTP header field. */
struct HttpHeader {
  std::string name;
  std::string value;
};

/** The header fields of one message, in order. */
class HttpHeaders {
 public:
  /** @returns the first value of the name, compared without case, or "" */
  std::string Get(const std::string& name) const;

  /** @returns true when the name is present */
  bool Has(const std::string& name) const;

  /** Replaces every value of the name by one. */
  void Set(const std::string& name, const std::string& value);

  /** Adds a field behind those of the same name. */
  void Add(std::string name, std::string value);

  /** Drops every field of the name. */
  void Remove(const std::string& name);

  /** Drops the fields that concern one connection only: Connection and those
      that it names, Keep-Alive, Transfer-Encoding, Content-Length and their
      like. */
  void RemoveHopByHop();

  const std::vector<HttpHeader>& all() const { return fields_; }

 private:
  std::vector<HttpHeader> fields_;
};

/** A request; `path` is without the query. */
struct HttpRequest {
  std::string method = "GET";
  std::string path = "/";
  /** The part after '?', percent-encoded; may be empty. */
  std::string query;
  HttpHeaders headers;
  std::string body;
};

class ResponsePacer;

/** A whole response. */
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
  /** When the body may be written; null for at once. */
  std::shared_ptr<ResponsePacer> pacing;
};

}  // namespace cumin
