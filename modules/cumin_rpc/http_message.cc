#include "cumin_rpc/http_message.h"

#include <strings.h>

#include <algorithm>

namespace cumin {

namespace {

bool SameName(const std::string& a, const std::string& b) {
  return strcasecmp(a.c_str(), b.c_str()) == 0;
}

}  // namespace

std::string HttpHeaders::Get(const std::string& name) const {
  for (const HttpHeader& it : fields_) {
    if (SameName(it.name, name)) {
      return it.value;
    }
  }
  return "";
}

bool HttpHeaders::Has(const std::string& name) const {
  return std::any_of(fields_.begin(), fields_.end(), [&](const HttpHeader& it) {
    return SameName(it.name, name);
  });
}

void HttpHeaders::Set(const std::string& name, const std::string& value) {
  const auto same = [&](const HttpHeader& it) {
    return SameName(it.name, name);
  };
  fields_.erase(std::remove_if(fields_.begin(), fields_.end(), same),
                fields_.end());
  fields_.push_back(HttpHeader{name, value});
}

}  // namespace cumin
