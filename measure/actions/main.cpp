// Measures the cost of binding an idempotency key by a claim: platform calls and latency, with one
// daemon and with many, over a range of claim rates.
#include <actions/claim_batcher.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace {

using namespace ej;
using namespace std::chrono_literals;

constexpr auto platform_call_time = 4ms;
constexpr auto span = 10s;

struct scenario {
    std::size_t daemons = 1;
    std::uint32_t buckets = 64;
    int claims_per_second = 1;
};

class claim_trial {
public:
    explicit claim_trial(const scenario& chosen) : chosen_(chosen)
    {
        actions::claim_limits limits;
        limits.buckets = chosen.buckets;
        for (std::size_t number = 0; number < chosen.daemons; ++number) {
            daemons_.push_back(std::make_unique<actions::claim_batcher>(limits));
        }
    }

    void run()
    {
        std::mt19937_64 random(20261204);
        std::exponential_distribution<double> gap(chosen_.claims_per_second);
        const auto gap_time = [&] {
            return std::chrono::duration_cast<core::duration>(
                std::chrono::duration<double>(gap(random)));
        };
        const core::instant first(1h);
        for (auto when = first + gap_time(); when < first + span; when += gap_time()) {
            const auto daemon = random() % daemons_.size();
            const actions::action_id action{random(), random()};
            scheduled_.emplace(when, [this, daemon, action] { request_claim(daemon, action); });
        }
        while (!scheduled_.empty()) {
            const auto next = scheduled_.extract(scheduled_.begin());
            now_ = next.key();
            next.mapped()();
        }
    }

    void print()
    {
        std::ranges::sort(bind_times_ms_);
        const auto bound = static_cast<double>(std::max<std::size_t>(bind_times_ms_.size(), 1));
        const auto at = [&](double share) {
            return bind_times_ms_.empty()
                       ? 0.0
                       : bind_times_ms_[static_cast<std::size_t>(
                             share * static_cast<double>(bind_times_ms_.size() - 1))];
        };
        std::printf("| %zu | %u | %d | %zu | %zu | %.2f | %.1f | %.0f | %.0f | %zu |\n",
                    chosen_.daemons, chosen_.buckets, chosen_.claims_per_second,
                    bind_times_ms_.size(), given_up_, static_cast<double>(reads_ + writes_) / bound,
                    static_cast<double>(writes_) / std::chrono::duration<double>(span).count(),
                    at(0.5), at(0.99), largest_);
    }

private:
    struct value {
        actions::claim_bucket bucket;
        core::revision revision;
    };

    void request_claim(std::size_t daemon, const actions::action_id& action)
    {
        actions::bucket_writer_event event;
        event.kind = actions::bucket_writer_event_kind::claim_wanted;
        event.wanted = {action,
                        {core::incarnation_id(std::to_string(daemon)), {"127.0.0.1", 1}},
                        actions::claim_nonce(++nonces_),
                        wall()};
        requested_at_[action] = now_;
        apply(daemon, daemons_[daemon]->bucket_of(action), event);
    }

    void apply(std::size_t daemon, actions::bucket_number bucket,
               actions::bucket_writer_event event)
    {
        event.at = wall();
        event.now = now_;
        for (const auto& effect : daemons_[daemon]->apply(bucket, event)) {
            execute_effect(daemon, bucket, effect);
        }
    }

    void execute_effect(std::size_t daemon, actions::bucket_number bucket,
                        const actions::bucket_writer_effect& effect)
    {
        switch (effect.kind) {
        case actions::bucket_writer_effect_kind::schedule:
            scheduled_.emplace(std::max(now_, effect.not_before), [=, this] {
                actions::bucket_writer_event event;
                event.kind = actions::bucket_writer_event_kind::call_due;
                apply(daemon, bucket, event);
            });
            return;
        case actions::bucket_writer_effect_kind::read:
            ++reads_;
            scheduled_.emplace(now_ + platform_call_time, [=, this] {
                actions::bucket_writer_event event;
                event.kind = actions::bucket_writer_event_kind::read_answered;
                event.bucket = store_[bucket].bucket;
                event.revision = store_[bucket].revision;
                apply(daemon, bucket, event);
            });
            return;
        case actions::bucket_writer_effect_kind::write:
            ++writes_;
            scheduled_.emplace(now_ + platform_call_time,
                               [=, this] { apply(daemon, bucket, written(bucket, effect)); });
            return;
        case actions::bucket_writer_effect_kind::settle:
            settle(effect.verdict);
            return;
        }
    }

    actions::bucket_writer_event written(actions::bucket_number bucket,
                                         const actions::bucket_writer_effect& effect)
    {
        actions::bucket_writer_event event;
        event.kind = actions::bucket_writer_event_kind::write_refused;
        value& stored = store_[bucket];
        if (stored.revision == effect.revision) {
            stored = {effect.bucket, core::revision(++revisions_)};
            largest_ = std::max(largest_, effect.bucket.entries.size());
            event.kind = actions::bucket_writer_event_kind::write_accepted;
            event.revision = stored.revision;
        }
        return event;
    }

    void settle(const actions::claim_verdict& verdict)
    {
        if (verdict.kind != actions::verdict_kind::bound) {
            ++given_up_;
            return;
        }
        const auto waited = now_ - requested_at_.at(verdict.claim.action);
        bind_times_ms_.push_back(std::chrono::duration<double, std::milli>(waited).count());
    }

    [[nodiscard]] actions::wall_time wall() const
    {
        return actions::wall_time(
            std::chrono::floor<std::chrono::milliseconds>(now_.time_since_epoch()));
    }

    scenario chosen_;
    core::instant now_;
    std::multimap<core::instant, std::function<void()>> scheduled_;
    std::vector<std::unique_ptr<actions::claim_batcher>> daemons_;
    std::map<actions::bucket_number, value> store_;
    std::map<actions::action_id, core::instant> requested_at_;
    std::vector<double> bind_times_ms_;
    std::uint64_t nonces_ = 0;
    std::uint64_t revisions_ = 0;
    std::size_t reads_ = 0;
    std::size_t writes_ = 0;
    std::size_t given_up_ = 0;
    std::size_t largest_ = 0;
};

} // namespace

int main()
{
    std::puts("| daemons | buckets | claims/s | bound | given up | calls a claim | writes/s | "
              "bind p50 ms | bind p99 ms | most claims a value |");
    std::puts("|---|---|---|---|---|---|---|---|---|---|");
    for (const scenario& chosen :
         {scenario{1, 64, 1}, scenario{9, 64, 10}, scenario{9, 64, 100}, scenario{9, 64, 300},
          scenario{9, 8, 300}, scenario{9, 8, 1'000}, scenario{1, 8, 1'000}, scenario{1, 8, 5'000},
          scenario{100, 64, 300}}) {
        claim_trial trial(chosen);
        trial.run();
        trial.print();
    }
}
