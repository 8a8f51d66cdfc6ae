#pragma once

#include <opentracing/tracer.h>

#include <memory>
#include <mutex>
#include <ostream>
#include <string>

#include "cumin_core/random.h"

namespace cumin {

/** The HTTP header that propagates the span context between processes, as
    defined by W3C Trace Context. */
constexpr char kTraceHeader[] = "traceparent";

/** An OpenTracing tracer that writes each finished span as one JSON line.

    @code
    auto span = StartSpan(*tracer, "ingress", request.Header(kTraceHeader));
    forwarded.SetHeader(kTraceHeader, TraceParent(*span));
    span->Finish();
    @endcode
*/
class JsonTracer final : public opentracing::Tracer {
 public:
  /** @param vm    the VM's name, written into each line
      @param out   receives the lines; outlives the tracer
      @param seed  for generating the span identifiers */
  JsonTracer(std::string vm, std::ostream& out, std::uint64_t seed);

  std::unique_ptr<opentracing::Span> StartSpanWithOptions(
      opentracing::string_view operation_name,
      const opentracing::StartSpanOptions& options) const noexcept override;

  opentracing::expected<void> Inject(const opentracing::SpanContext& context,
                                     std::ostream& writer) const override;
  opentracing::expected<void> Inject(
      const opentracing::SpanContext& context,
      const opentracing::TextMapWriter& writer) const override;
  opentracing::expected<void> Inject(
      const opentracing::SpanContext& context,
      const opentracing::HTTPHeadersWriter& writer) const override;
  opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
      std::istream& reader) const override;
  opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
      const opentracing::TextMapReader& reader) const override;
  opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
      const opentracing::HTTPHeadersReader& reader) const override;

  /** Writes one line; called by spans when they finish. */
  void WriteLine(const std::string& line) const;

 private:
  std::string vm_;
  std::ostream& out_;
  mutable std::mutex mutex_;
  mutable SeededRandom random_;
};

/** Starts a span whose parent, if any, is given by a traceparent header.
    @param tracer     the process's tracer
    @param operation  the hop's name, e.g. "ingress" or "owner"
    @param parent     the header's value; empty or malformed starts a new trace
 */
std::unique_ptr<opentracing::Span> StartSpan(const opentracing::Tracer& tracer,
                                             const std::string& operation,
                                             const std::string& parent);

/** @returns the traceparent header's value for calls made under this span */
std::string TraceParent(const opentracing::Span& span);

}  // namespace cumin
