#include <membership/fingerprint.h>

#include <membership/digest_table.h>

#include <xxhash.h>

#include <string>

namespace ej::membership {

namespace {

class hasher {
public:
    hasher& add(const std::string& text)
    {
        hash_ = XXH3_64bits_withSeed(text.data(), text.size(), hash_);
        return *this;
    }

    hasher& add(std::uint64_t number)
    {
        hash_ = XXH3_64bits_withSeed(&number, sizeof number, hash_);
        return *this;
    }

    hasher& add(const core::address& where) { return add(where.host).add(where.port); }

    [[nodiscard]] std::uint64_t value() const { return hash_; }

private:
    std::uint64_t hash_ = 0;
};

} // namespace

std::uint64_t fingerprint(const member_entry& entry)
{
    return hasher()
        .add(entry.vm.text())
        .add(entry.boot.value())
        .add(entry.version.value())
        .add(static_cast<std::uint64_t>(entry.state))
        .add(entry.domain.text())
        .add(entry.where)
        .value();
}

std::uint64_t fingerprint(const endpoint_entry& entry)
{
    const auto& endpoint = entry.endpoint;
    return hasher()
        .add(endpoint.name.text())
        .add(endpoint.incarnation.text())
        .add(endpoint.domain.text())
        .add(endpoint.service.text())
        .add(endpoint.where)
        .add(endpoint.slots)
        .add(static_cast<std::uint64_t>(endpoint.checks_fencing))
        .add(entry.observed_generation.value())
        .add(static_cast<std::uint64_t>(entry.gone))
        .add(static_cast<std::uint64_t>(entry.leaving))
        .value();
}

std::size_t bucket_of(const core::endpoint_id& name)
{
    return XXH3_64bits(name.text().data(), name.text().size()) % endpoint_buckets;
}

} // namespace ej::membership
