/// Counts the events in a sliding window. Events are grouped in buckets, so memory is bounded at any rate.
#pragma once

#include <cstdint>
#include <deque>

#include "core/clock.hpp"

namespace beechpoint::dispatch {

/// Times must not decrease.
class SlidingCount {
public:
    /// Whether a bucket across the window's older edge counts fully (upper bound) or not at all (lower
    /// bound).
    enum class Edge { upper, lower };

    SlidingCount(Millis window, Edge edge) : window_(window), edge_(edge) {}

    /// Adds an event.
    void add(Millis now) {
        dropExpired(now);
        const Millis width = window_ / kBuckets;
        if (buckets_.empty() || now >= buckets_.back().start + width) buckets_.push_back({now, width, 0});
        ++buckets_.back().count;
        ++total_;
    }
    /// Events in (now - window, now].
    [[nodiscard]] std::uint64_t count(Millis now) {
        dropExpired(now);
        return total_;
    }

private:
    static constexpr int kBuckets = 100;
    struct Bucket {
        Millis start = 0;
        Millis width = 0;
        std::uint64_t count = 0;
        Millis oldest(Edge edge) const { return edge == Edge::upper ? start + width : start; }
    };

    void dropExpired(Millis now) {
        while (!buckets_.empty() && buckets_.front().oldest(edge_) < now - window_) {
            total_ -= buckets_.front().count;
            buckets_.pop_front();
        }
    }

    Millis window_;
    Edge edge_;
    std::deque<Bucket> buckets_;
    std::uint64_t total_ = 0;
};

}  // namespace beechpoint::dispatch
