#include "store.h"

#include <nlohmann/json.hpp>

#include <cstdlib>

namespace review {

namespace {

using nlohmann::json;

constexpr std::string_view digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string& text)
{
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        unsigned bits = 0;
        for (std::size_t i = 0; i < 3; ++i) {
            bits = bits << 8U;
            if (at + i < text.size()) {
                bits |= static_cast<unsigned char>(text[at + i]);
            }
        }
        for (std::size_t i = 0; i < 4; ++i) {
            out += at + i <= text.size() ? digits[(bits >> (18U - 6U * i)) & 63U] : '=';
        }
    }
    return out;
}

std::string from_base64(const std::string& text)
{
    std::string out;
    unsigned bits = 0;
    unsigned count = 0;
    for (const char one : text) {
        const auto place = digits.find(one);
        if (place == std::string_view::npos) {
            break;
        }
        bits = (bits << 6U) | static_cast<unsigned>(place);
        count += 6;
        if (count >= 8) {
            count -= 8;
            out += static_cast<char>((bits >> count) & 255U);
        }
    }
    return out;
}

std::string decoded(const std::string& text)
{
    std::string out;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            out += static_cast<char>(std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16));
            at += 2;
        }
        else {
            out += text[at];
        }
    }
    return out;
}

std::map<std::string, std::string> query_of(const std::string& target)
{
    std::map<std::string, std::string> query;
    auto begin = target.find('?');
    while (begin != std::string::npos) {
        const auto end = target.find('&', begin + 1);
        const auto part = target.substr(begin + 1, end - begin - 1);
        const auto equals = part.find('=');
        query[part.substr(0, equals)] = decoded(part.substr(equals + 1));
        begin = end;
    }
    return query;
}

bool send(connection& peer, int status, const json& body)
{
    const auto text = body.dump();
    return peer.write("HTTP/1.1 " + std::to_string(status) +
                      " X\r\nContent-Type: application/json\r\nContent-Length: " +
                      std::to_string(text.size()) + "\r\n\r\n" + text);
}

} // namespace

long store::put(const std::string& key, const std::string& value)
{
    const std::scoped_lock lock(mutex_);
    put_locked(key, value, 0);
    return revision_;
}

void store::remove(const std::string& key)
{
    const std::scoped_lock lock(mutex_);
    remove_locked(key);
}

void store::put_locked(const std::string& key, const std::string& value, long lease)
{
    item& known = items_[key];
    known.value = value;
    known.revision = ++revision_;
    known.created = known.created == 0 ? revision_ : known.created;
    known.lease = lease;
    events_.push_back({key, known, revision_});
    changed_.notify_all();
}

void store::remove_locked(const std::string& key)
{
    if (items_.erase(key) > 0) {
        events_.push_back({key, std::nullopt, ++revision_});
        changed_.notify_all();
    }
}

void store::expire_leases()
{
    const auto now = steady::now();
    for (auto one = leases_.begin(); one != leases_.end();) {
        if (one->second > now) {
            ++one;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto& [key, known] : items_) {
            if (known.lease == one->first) {
                keys.push_back(key);
            }
        }
        for (const auto& key : keys) {
            remove_locked(key);
        }
        one = leases_.erase(one);
    }
}

void store::serve(connection& peer)
{
    const long cuts_at_start = cut_requests_;
    while (!closing()) {
        const auto request = peer.read_request(steady::now() + std::chrono::hours(1));
        if (!request || !answer(*request, peer, cuts_at_start)) {
            return;
        }
    }
}

bool store::watch(const std::map<std::string, std::string>& query, connection& peer,
                  long cuts_at_start)
{
    const auto prefix = query.at("prefix");
    const long after = std::atol(query.at("after").c_str());
    const auto until = steady::now() + milliseconds(std::atol(query.at("waitMs").c_str()));
    std::unique_lock lock(mutex_);
    json events = json::array();
    for (bool waited = false;; waited = true) {
        expire_leases();
        for (const event& one : events_) {
            if (one.revision <= after || !one.key.starts_with(prefix)) {
                continue;
            }
            if (one.what) {
                events.push_back({{"key", one.key},
                                  {"value", to_base64(one.what->value)},
                                  {"revision", one.revision},
                                  {"createdRev", one.what->created},
                                  {"lease", one.what->lease}});
            }
            else {
                events.push_back(
                    {{"key", one.key}, {"revision", one.revision}, {"tombstone", true}});
            }
        }
        if (waited && events.empty() && cut_requests_ != cuts_at_start) {
            ++cuts_;
            return false;
        }
        if (!events.empty() || steady::now() >= until || closing()) {
            break;
        }
        changed_.wait_until(lock, std::min(until, steady::now() + milliseconds(50)));
    }
    const json body{{"events", std::move(events)}, {"currentRev", revision_}};
    lock.unlock();
    return send(peer, 200, body);
}

bool store::answer(const message& request, connection& peer, long cuts_at_start)
{
    const auto target = request.target();
    const auto path = target.substr(0, target.find('?'));
    const auto query = query_of(target);
    if (path == "/v1/kv-watch") {
        return watch(query, peer, cuts_at_start);
    }
    std::unique_lock lock(mutex_);
    expire_leases();
    if (path == "/v1/kv-range") {
        const auto after = query.contains("after") ? query.at("after") : std::string();
        json found = json::array();
        bool more = false;
        for (const auto& [key, known] : items_) {
            if (!key.starts_with(query.at("prefix")) || key <= after) {
                continue;
            }
            if (found.size() == 500) {
                more = true;
                break;
            }
            found.push_back({{"key", key},
                             {"value", to_base64(known.value)},
                             {"revision", known.revision},
                             {"createdRev", known.created},
                             {"lease", known.lease}});
        }
        const json body{
            {"items", std::move(found)}, {"morePages", more}, {"currentRev", revision_}};
        lock.unlock();
        return send(peer, 200, body);
    }
    if (path == "/v1/kv-lease") {
        const auto body = json::parse(request.body);
        const auto time = milliseconds(body.at("ttlMs").get<long>());
        const long lease = ++next_lease_;
        leases_[lease] = steady::now() + time;
        lease_times_[lease] = time;
        return send(peer, 200, {{"lease", lease}, {"ttlMs", time.count()}});
    }
    if (path.starts_with("/v1/kv-keep/")) {
        const long lease = std::atol(path.c_str() + std::string("/v1/kv-keep/").size());
        if (!leases_.contains(lease)) {
            return send(peer, 404, json::object());
        }
        leases_[lease] = steady::now() + lease_times_[lease];
        return send(peer, 200, {{"ttlMs", lease_times_[lease].count()}});
    }
    if (path == "/v1/kv-txn") {
        const auto body = json::parse(request.body);
        for (const auto& one : body.at("expectedRevision")) {
            const auto found = items_.find(one.at("key").get<std::string>());
            const long known = found == items_.end() ? 0 : found->second.revision;
            if (known != one.at("revision").get<long>()) {
                return send(peer, 412, {{"items", json::array()}});
            }
        }
        for (const auto& one : body.at("writes")) {
            const long lease = one.value("lease", 0L);
            if (lease != 0 && !leases_.contains(lease)) {
                return send(peer, 404, json::object());
            }
        }
        for (const auto& one : body.at("writes")) {
            put_locked(one.at("key"), from_base64(one.at("value")), one.value("lease", 0L));
        }
        for (const auto& key : body.at("remove")) {
            remove_locked(key);
        }
        return send(peer, 200, {{"revision", revision_}});
    }
    log_.line("store: unknown call " + request.start);
    return send(peer, 404, json::object());
}

} // namespace review
