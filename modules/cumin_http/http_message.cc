#include "cumin_http/http_message.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

namespace cumin {

namespace {

bool EqualsIgnoreCase(const std::string& a, const std::string& b) {
  return strcasecmp(a.c_str(), b.c_str()) == 0;
}

}  // namespace

std::string HttpHeaders::Get(const std::string& name) const {
  for (const HttpHeader& it : fields_) {
    if (EqualsIgnoreCase(it.name, name)) {
      return it.value;
    }
  }
  return "";
}

bool HttpHeaders::Has(const std::string& name) const {
  return std::any_of(fields_.begin(), fields_.end(), [&](const HttpHeader& it) {
    return EqualsIgnoreCase(it.name, name);
  });
}

void HttpHeaders::Set(const std::string& name, const std::string& value) {
  Remove(name);
  Add(name, value);
}

void HttpHeaders::Add(std::string name, std::string value) {
  fields_.push_back(HttpHeader{std::move(name), std::move(value)});
}

void HttpHeaders::Remove(const std::string& name) {
  const auto same = [&](const HttpHeader& it) {
    return EqualsIgnoreCase(it.name, name);
  };
  fields_.erase(std::remove_if(fields_.begin(), fields_.end(), same),
                fields_.end());
}

void HttpHeaders::RemoveHopByHop() {
  static constexpr std::array<const char*, 10> kNames = {"Connection",
                                                         "Keep-Alive",
                                                         "Proxy-Connection",
                                                         "Proxy-Authenticate",
                                                         "TE",
                                                         "Trailer",
                                                         "Transfer-Encoding",
                                                         "Upgrade",
                                                         "Content-Length",
                                                         "Expect"};
  std::istringstream named(Get("Connection"));
  for (std::string it; std::getline(named, it, ',');) {
    const std::size_t first = it.find_first_not_of(' ');
    if (first != std::string::npos) {
      Remove(it.substr(first, it.find_last_not_of(' ') - first + 1));
    }
  }
  for (const char* const it : kNames) {
    Remove(it);
  }
}

}  // namespace cumin
