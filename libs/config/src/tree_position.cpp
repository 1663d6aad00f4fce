#include <config/tree_position.h>

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace ej::config {

namespace {

using weighted_vm = std::pair<std::uint64_t, core::vm_id>;

std::uint64_t hash(const std::string& text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

// Rendezvous hashing: adding or removing a member does not change the order of the others.
std::vector<core::vm_id> ranked(const member& self, const std::vector<member>& members)
{
    const std::uint64_t seed = hash(self.domain.text(), 0);
    std::vector<weighted_vm> weighted{{hash(self.vm.text(), seed), self.vm}};
    for (const member& other : members) {
        if (other.domain == self.domain && other.vm != self.vm) {
            weighted.emplace_back(hash(other.vm.text(), seed), other.vm);
        }
    }
    std::ranges::sort(weighted);
    std::vector<core::vm_id> order;
    std::ranges::transform(weighted, std::back_inserter(order), &weighted_vm::second);
    return order;
}

std::vector<core::vm_id> sublist(const std::vector<core::vm_id>& order, std::size_t first,
                                 std::size_t count)
{
    const std::size_t begin = std::min(first, order.size());
    const std::size_t end = std::min(begin + count, order.size());
    return {order.begin() + static_cast<std::ptrdiff_t>(begin),
            order.begin() + static_cast<std::ptrdiff_t>(end)};
}

std::vector<core::vm_id> without(std::vector<core::vm_id> vms, const core::vm_id& left_out)
{
    std::erase(vms, left_out);
    return vms;
}

} // namespace

tree_position find_tree_position(const member& self, const std::vector<member>& members,
                                 std::uint32_t watchers, std::uint32_t fanout)
{
    const auto order = ranked(self, members);
    const auto rank =
        static_cast<std::size_t>(std::distance(order.begin(), std::ranges::find(order, self.vm)));
    tree_position position;
    position.rank = static_cast<std::uint32_t>(rank);
    position.roots = without(sublist(order, 0, watchers), self.vm);
    position.children = sublist(order, watchers + rank * fanout, fanout);
    position.domain_peers = without(order, self.vm);
    for (const member& other : members) {
        if (other.domain != self.domain) {
            position.remote_peers.push_back(other.vm);
        }
    }
    return position;
}

} // namespace ej::config
