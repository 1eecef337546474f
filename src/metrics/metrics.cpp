#include "metrics/metrics.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/indexed.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <fmt/core.h>

#include <map>
#include <tuple>
#include <utility>

namespace bh = boost::histogram;

namespace bluebell {
namespace {

/// Bins of the histograms, spaced logarithmically between MinSeconds and MaxSeconds.
constexpr unsigned Bins = 25;
constexpr double MinSeconds = 0.001;
constexpr double MaxSeconds = 316.2;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

auto makeDurationHistogram()
{
    return bh::make_histogram(LogAxis(Bins, MinSeconds, MaxSeconds));
}

struct DurationMetric
{
    decltype(makeDurationHistogram()) histogram = makeDurationHistogram();
    double sum = 0;
};

struct SampleKey
{
    std::string name;
    MetricLabels labels;
    friend auto operator<=>(const SampleKey &, const SampleKey &) = default;
};

std::string formatLabels(const MetricLabels &labels, const std::string &bound = {})
{
    std::string text;
    const auto add = [&text](std::string_view name, const std::string &value) {
        if (!value.empty())
            text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", name, value);
    };
    add("organisation", labels.organisation.value());
    add("class", labels.classId.value());
    add("outcome", labels.outcome);
    add("le", bound);
    return text.empty() ? text : "{" + text + "}";
}

} // namespace

struct Metrics::Data
{
    std::map<SampleKey, std::uint64_t> counters;
    std::map<std::string, double> gauges;
    std::map<SampleKey, DurationMetric> durations;
};

Metrics::Metrics() : m_data(std::make_unique<Data>()) { }

Metrics::~Metrics() = default;

void Metrics::count(std::string_view name, const MetricLabels &labels, std::uint64_t n)
{
    m_data->counters[{ std::string(name), labels }] += n;
}

void Metrics::setGauge(std::string_view name, double value)
{
    m_data->gauges[std::string(name)] = value;
}

void Metrics::observe(std::string_view name, const MetricLabels &labels, Duration d)
{
    auto &it = m_data->durations[{ std::string(name), labels }];
    it.histogram(toSeconds(d));
    it.sum += toSeconds(d);
}

std::string Metrics::exposition() const
{
    std::string text;
    std::string previous;
    const auto addTypeLine = [&](const std::string &name, std::string_view type) {
        if (std::exchange(previous, name) != name)
            text += fmt::format("# TYPE {} {}\n", name, type);
    };
    for (const auto &[key, n] : m_data->counters) {
        addTypeLine(key.name, "counter");
        text += fmt::format("{}{} {}\n", key.name, formatLabels(key.labels), n);
    }
    for (const auto &[name, value] : m_data->gauges) {
        addTypeLine(name, "gauge");
        text += fmt::format("{} {}\n", name, value);
    }
    for (const auto &[key, metric] : m_data->durations) {
        addTypeLine(key.name, "histogram");
        double total = 0;
        for (const auto &bin : bh::indexed(metric.histogram, bh::coverage::all)) {
            total += *bin;
            const auto upper = bin.bin().upper();
            const auto bound = upper > MaxSeconds * 1.01 ? "+Inf" : fmt::format("{:.4g}", upper);
            text += fmt::format("{}_bucket{} {}\n", key.name, formatLabels(key.labels, bound),
                                total);
        }
        text += fmt::format("{}_sum{} {}\n", key.name, formatLabels(key.labels), metric.sum);
        text += fmt::format("{}_count{} {}\n", key.name, formatLabels(key.labels), total);
    }
    return text;
}

} // namespace bluebell
