#include "cumin_core/tracing.h"

#include <json/json.h>

#include <cstdio>
#include <istream>
#include <utility>
#include <vector>

#include "cumin_core/json_text.h"

namespace cumin {

namespace {

constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;
constexpr std::size_t kHeaderBytes = 55;
constexpr std::size_t kSpanIdOffset = 36;

std::string HexDigits(std::uint64_t number) {
  char buf[kSpanIdDigits + 1];
  std::snprintf(buf, sizeof(buf), "%016llx",
                static_cast<unsigned long long>(number));  // NOLINT
  return buf;
}

bool IsHex(const std::string& text) {
  return text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

class JsonSpanContext final : public opentracing::SpanContext {
 public:
  JsonSpanContext(std::string trace_id, std::string span_id)
      : trace_id_(std::move(trace_id)), span_id_(std::move(span_id)) {}

  void ForeachBaggageItem(
      std::function<bool(const std::string&, const std::string&)> /*f*/)
      const override {}

  std::unique_ptr<opentracing::SpanContext> Clone() const noexcept override {
    return std::make_unique<JsonSpanContext>(trace_id_, span_id_);
  }

  std::string ToTraceID() const noexcept override { return trace_id_; }
  std::string ToSpanID() const noexcept override { return span_id_; }

  std::string ToHeader() const {
    return "00-" + trace_id_ + "-" + span_id_ + "-01";
  }

 private:
  std::string trace_id_;
  std::string span_id_;
};

std::unique_ptr<JsonSpanContext> ParseHeader(const std::string& header) {
  if (header.size() != kHeaderBytes || header[2] != '-' ||
      header[kSpanIdOffset - 1] != '-') {
    return nullptr;
  }
  const std::string trace_id = header.substr(3, kTraceIdDigits);
  const std::string span_id = header.substr(kSpanIdOffset, kSpanIdDigits);
  if (!IsHex(trace_id) || !IsHex(span_id)) {
    return nullptr;
  }
  return std::make_unique<JsonSpanContext>(trace_id, span_id);
}

Json::Value ToJson(const opentracing::Value& value) {
  if (value.is<bool>()) {
    return value.get<bool>();
  }
  if (value.is<std::int64_t>()) {
    return static_cast<Json::Int64>(value.get<std::int64_t>());
  }
  if (value.is<std::uint64_t>()) {
    return static_cast<Json::UInt64>(value.get<std::uint64_t>());
  }
  if (value.is<double>()) {
    return value.get<double>();
  }
  if (value.is<std::string>()) {
    return value.get<std::string>();
  }
  if (value.is<const char*>()) {
    return value.get<const char*>();
  }
  return Json::nullValue;
}

class JsonSpan final : public opentracing::Span {
 public:
  JsonSpan(const JsonTracer& tracer, std::string vm, std::string operation,
           JsonSpanContext context, std::string parent_id,
           opentracing::SystemTime started, opentracing::SteadyTime start)
      : tracer_(tracer),
        vm_(std::move(vm)),
        operation_(std::move(operation)),
        context_(std::move(context)),
        parent_id_(std::move(parent_id)),
        started_(started),
        start_(start) {}

  void FinishWithOptions(
      const opentracing::FinishSpanOptions& options) noexcept override {
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    Json::Value line;
    line["span"] = operation_;
    line["vm"] = vm_;
    line["trace_id"] = context_.ToTraceID();
    line["span_id"] = context_.ToSpanID();
    line["parent_id"] = parent_id_;
    line["start_us"] = static_cast<Json::Int64>(
        duration_cast<microseconds>(started_.time_since_epoch()).count());
    line["length_us"] = static_cast<Json::Int64>(
        duration_cast<microseconds>(options.finish_steady_timestamp - start_)
            .count());
    line["tags"] = tags_;
    tracer_.WriteLine(ToJsonText(line));
  }

  void SetOperationName(opentracing::string_view name) noexcept override {
    operation_ = std::string(name.data(), name.size());
  }
  void SetTag(opentracing::string_view key,
              const opentracing::Value& value) noexcept override {
    tags_[std::string(key.data(), key.size())] = ToJson(value);
  }
  void SetBaggageItem(opentracing::string_view /*key*/,
                      opentracing::string_view /*value*/) noexcept override {}
  std::string BaggageItem(
      opentracing::string_view /*key*/) const noexcept override {
    return "";
  }
  void Log(std::initializer_list<
           std::pair<opentracing::string_view, opentracing::Value>>
               fields) noexcept override {
    for (const auto& it : fields) {
      SetTag(it.first, it.second);
    }
  }
  void Log(opentracing::SystemTime /*timestamp*/,
           std::initializer_list<
               std::pair<opentracing::string_view, opentracing::Value>>
               fields) noexcept override {
    Log(fields);
  }
  void Log(opentracing::SystemTime /*timestamp*/,
           const std::vector<
               std::pair<opentracing::string_view, opentracing::Value>>&
               fields) noexcept override {
    for (const auto& it : fields) {
      SetTag(it.first, it.second);
    }
  }
  const opentracing::SpanContext& context() const noexcept override {
    return context_;
  }
  const opentracing::Tracer& tracer() const noexcept override {
    return tracer_;
  }

 private:
  const JsonTracer& tracer_;
  std::string vm_;
  std::string operation_;
  JsonSpanContext context_;
  std::string parent_id_;
  opentracing::SystemTime started_;
  opentracing::SteadyTime start_;
  Json::Value tags_{Json::objectValue};
};

}  // namespace

JsonTracer::JsonTracer(std::string vm, std::ostream& out, std::uint64_t seed)
    : vm_(std::move(vm)), out_(out), random_(seed) {}

std::unique_ptr<opentracing::Span> JsonTracer::StartSpanWithOptions(
    opentracing::string_view operation_name,
    const opentracing::StartSpanOptions& options) const noexcept {
  std::string trace_id;
  std::string parent_id;
  for (const auto& it : options.references) {
    if (it.second != nullptr) {
      trace_id = it.second->ToTraceID();
      parent_id = it.second->ToSpanID();
    }
  }
  std::string span_id;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (trace_id.empty()) {
      trace_id = HexDigits(random_.Next()) + HexDigits(random_.Next());
    }
    span_id = HexDigits(random_.Next());
  }
  auto started = options.start_system_timestamp;
  if (started == opentracing::SystemTime()) {
    started = opentracing::SystemClock::now();
  }
  auto start = options.start_steady_timestamp;
  if (start == opentracing::SteadyTime()) {
    start = opentracing::SteadyClock::now();
  }
  return std::make_unique<JsonSpan>(
      *this, vm_, std::string(operation_name.data(), operation_name.size()),
      JsonSpanContext(trace_id, span_id), parent_id, started, start);
}

opentracing::expected<void> JsonTracer::Inject(
    const opentracing::SpanContext& context, std::ostream& writer) const {
  writer << JsonSpanContext(context.ToTraceID(), context.ToSpanID()).ToHeader();
  return {};
}

opentracing::expected<void> JsonTracer::Inject(
    const opentracing::SpanContext& context,
    const opentracing::TextMapWriter& writer) const {
  return writer.Set(
      kTraceHeader,
      JsonSpanContext(context.ToTraceID(), context.ToSpanID()).ToHeader());
}

opentracing::expected<void> JsonTracer::Inject(
    const opentracing::SpanContext& context,
    const opentracing::HTTPHeadersWriter& writer) const {
  return Inject(context,
                static_cast<const opentracing::TextMapWriter&>(writer));
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
JsonTracer::Extract(std::istream& reader) const {
  std::string header;
  reader >> header;
  return std::unique_ptr<opentracing::SpanContext>(ParseHeader(header));
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
JsonTracer::Extract(const opentracing::TextMapReader& reader) const {
  std::string header;
  reader.ForeachKey(
      [&header](opentracing::string_view key, opentracing::string_view value) {
        if (std::string(key.data(), key.size()) == kTraceHeader) {
          header.assign(value.data(), value.size());
        }
        return opentracing::expected<void>();
      });
  return std::unique_ptr<opentracing::SpanContext>(ParseHeader(header));
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
JsonTracer::Extract(const opentracing::HTTPHeadersReader& reader) const {
  return Extract(static_cast<const opentracing::TextMapReader&>(reader));
}

void JsonTracer::WriteLine(const std::string& line) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  out_ << line << '\n';
  out_.flush();
}

std::unique_ptr<opentracing::Span> StartSpan(const opentracing::Tracer& tracer,
                                             const std::string& operation,
                                             const std::string& parent) {
  const std::unique_ptr<JsonSpanContext> context = ParseHeader(parent);
  return tracer.StartSpan(operation, {opentracing::ChildOf(context.get())});
}

std::string TraceParent(const opentracing::Span& span) {
  return JsonSpanContext(span.context().ToTraceID(), span.context().ToSpanID())
      .ToHeader();
}

}  // namespace cumin
