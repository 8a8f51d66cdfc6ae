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
  /** @returns the first value of the name, compared case-insensitively, or ""
   */
  std::string Get(const std::string& name) const;

  /** @returns true when the name is present */
  bool Has(const std::string& name) const;

  /** Replaces every value of the name by one. */
  void Set(const std::string& name, const std::string& value);

  /** Appends a field; existing fields of the same name stay. */
  void Add(std::string name, std::string value);

  /** Removes every field of the name. */
  void Remove(const std::string& name);

  /** Removes the fields that apply to a single connection: Connection and the
      fields it names, Keep-Alive, Transfer-Encoding, Content-Length and
      similar. */
  void RemoveHopByHop();

  const std::vector<HttpHeader>& all() const { return fields_; }

 private:
  std::vector<HttpHeader> fields_;
};

/** A complete request; `path` excludes the query. */
struct HttpRequest {
  std::string method = "GET";
  std::string path = "/";
  /** The part after '?', percent-encoded; may be empty. */
  std::string query;
  HttpHeaders headers;
  std::string body;

  /** @returns a copy with an empty body */
  HttpRequest WithoutBody() const {
    return HttpRequest{method, path, query, headers, std::string()};
  }
};

class ResponsePacer;

/** A complete response. */
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
  /** Controls when the body is written; null to write it immediately. */
  std::shared_ptr<ResponsePacer> pacing;
  /** Accounts for the memory of a body that was received; may be null. */
  std::shared_ptr<void> memory;
};

}  // namespace cumin
