#include "store_model.h"

#include <algorithm>
#include <stdexcept>

namespace ej::config {

write_answered store_model::write(const write_change_log& wanted)
{
    if (wanted.if_revision != current_.log.key_revision) {
        return {cas_outcome::conflict, {}};
    }
    past_.push_back(current_);
    current_.log = {core::revision(++counter_), wanted.log};
    record(wanted.log);
    return {cas_outcome::applied, current_.log.key_revision};
}

write_answered store_model::write(const write_snapshot& wanted)
{
    if (wanted.if_revision != current_.base.key_revision) {
        return {cas_outcome::conflict, {}};
    }
    past_.push_back(current_);
    current_.base = {core::revision(++counter_), wanted.snapshot};
    return {cas_outcome::applied, current_.base.key_revision};
}

void store_model::rewind(std::size_t changes)
{
    const std::size_t kept = committed_.size() - std::min(changes, committed_.size());
    while (current_.log.log.last().value() > kept) {
        current_ = past_.back();
        past_.pop_back();
    }
}

void store_model::record(const change_log& log)
{
    if (log.last().value() == committed_.size() + 1) {
        committed_.push_back(log.changes.back().made);
    }
    if (log.last().value() != committed_.size()) {
        throw std::logic_error("a write dropped accepted changes from the log");
    }
}

configuration fold(const std::vector<change>& changes, std::size_t count)
{
    configuration::class_map classes;
    configuration::workspace_map workspaces;
    history_digest history;
    for (std::size_t i = 0; i < count; ++i) {
        const change& made = changes.at(i);
        const core::revision revision(i + 1);
        history = extend(history, made.id);
        if (const auto* put = std::get_if<put_class>(&made.what)) {
            classes[put->value.name] = {put->value, revision};
        }
        if (const auto* deleted = std::get_if<delete_class>(&made.what)) {
            classes.erase(deleted->name);
        }
        if (const auto* put = std::get_if<put_workspace>(&made.what)) {
            workspaces[put->value.name] = {put->value, revision};
        }
        if (const auto* deleted = std::get_if<delete_workspace>(&made.what)) {
            workspaces.erase(deleted->name);
        }
    }
    return {core::revision(count), history, classes, workspaces};
}

} // namespace ej::config
