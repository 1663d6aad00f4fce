#include <metrics/registry.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <chrono>
#include <iterator>

namespace ej::metrics {

namespace {

const prometheus::Histogram::BucketBoundaries bucket_bounds_seconds{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 0.81, 1, 2, 4, 6, 10, 30, 60};

prometheus::Labels to_labels(const std::vector<label>& labels)
{
    prometheus::Labels result;
    std::ranges::transform(labels, std::inserter(result, result.end()),
                           [](const label& one) { return std::pair(one.name, one.value); });
    return result;
}

std::string full_name(const std::string& name)
{
    return "endivejunction_" + name;
}

} // namespace

struct registry::families {
    prometheus::Registry registry;
};

registry::registry() : families_(std::make_unique<families>()) {}

registry::~registry() = default;

void registry::count(const std::string& name, const std::vector<label>& labels, double by)
{
    auto& family = prometheus::BuildCounter().Name(full_name(name)).Register(families_->registry);
    family.Add(to_labels(labels)).Increment(by);
}

void registry::set(const std::string& name, const std::vector<label>& labels, double value)
{
    auto& family = prometheus::BuildGauge().Name(full_name(name)).Register(families_->registry);
    family.Add(to_labels(labels)).Set(value);
}

void registry::observe(const std::string& name, const std::vector<label>& labels,
                       core::duration time)
{
    auto& family = prometheus::BuildHistogram().Name(full_name(name)).Register(families_->registry);
    family.Add(to_labels(labels), bucket_bounds_seconds)
        .Observe(std::chrono::duration<double>(time).count());
}

std::string registry::text() const
{
    return prometheus::TextSerializer().Serialize(families_->registry.Collect());
}

} // namespace ej::metrics
