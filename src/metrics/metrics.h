#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

/// \file
/// Counters and histograms for each organisation and class, in the usual text exposition.

namespace bluebell {

/// What one sample belongs to. A caller's key is never a label.
struct MetricLabels
{
    OrganisationId organisation;
    ClassId classId;
    /// Further label such as an outcome; may be empty.
    std::string outcome;

    friend auto operator<=>(const MetricLabels &, const MetricLabels &) = default;
};

/// Holds the metrics of one process. Not safe for use from several threads.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void count(std::string_view name, const MetricLabels &labels, std::uint64_t n = 1);
    void setGauge(std::string_view name, double value);
    void observe(std::string_view name, const MetricLabels &labels, Duration d);

    /// \returns all metrics as text
    [[nodiscard]] std::string exposition() const;

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace bluebell
