#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace ej::concurrency {

/// Read-mostly state: readers load the current immutable value, a writer replaces it as a whole.
/// Thread-safe; a reader's value stays valid for as long as the reader keeps it.
template <class T>
class snapshot {
public:
    explicit snapshot(T initial) : current_(std::make_shared<const T>(std::move(initial))) {}

    /// The current value.
    [[nodiscard]] std::shared_ptr<const T> load() const
    {
        const std::scoped_lock lock(mutex_);
        return current_;
    }

    /// Replaces the value with `next`.
    void store(T next)
    {
        auto replacement = std::make_shared<const T>(std::move(next));
        const std::scoped_lock lock(mutex_);
        current_.swap(replacement);
    }

    /// Replaces the value with `change(current)` and returns it. Atomic among callers of `update`;
    /// a concurrent `store` may be overwritten.
    template <class Change>
    std::shared_ptr<const T> update(Change&& change)
    {
        const std::scoped_lock writers(update_mutex_);
        auto replacement = std::make_shared<const T>(std::forward<Change>(change)(*load()));
        const std::scoped_lock lock(mutex_);
        current_ = replacement;
        return replacement;
    }

private:
    mutable std::mutex mutex_;
    std::mutex update_mutex_;
    std::shared_ptr<const T> current_;
};

} // namespace ej::concurrency
