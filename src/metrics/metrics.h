#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

/// \file
/// Counters, gauges and histograms in the Prometheus text exposition format.

namespace bluebell {

/// Labels of a sample; empty ones are omitted. Must not contain a caller's API key.
struct MetricLabels
{
    OrganisationId organisation;
    ClassId classId;
    /// Additional label, such as the outcome of a request.
    std::string outcome;

    friend auto operator<=>(const MetricLabels &, const MetricLabels &) = default;
};

/// Holds the metrics of one process. Not thread-safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Adds `n` to a counter.
    void count(std::string_view name, const MetricLabels &labels, std::uint64_t n = 1);
    /// Sets the current value of a gauge.
    void setGauge(std::string_view name, double value);
    /// Adds a duration to a histogram, in seconds.
    void observe(std::string_view name, const MetricLabels &labels, Duration d);

    /// \returns all metrics in the text exposition format
    [[nodiscard]] std::string exposition() const;

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace bluebell
