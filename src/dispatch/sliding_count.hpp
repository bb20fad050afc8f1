/// How many events fell into a sliding window, in buckets: memory is bounded whatever the rate.
#pragma once

#include <cstdint>
#include <deque>

#include "core/clock.hpp"

namespace beechpoint::dispatch {

/// Times must not go back.
class SlidingCount {
public:
    /// Whether a bucket that lies across the window's older edge counts fully (an upper bound) or not at all (a lower one).
    enum class Edge { upper, lower };

    SlidingCount(Millis window, Edge edge) : window_(window), edge_(edge) {}

    /// One event.
    void add(Millis now) {
        drop(now);
        const Millis width = window_ / kBuckets;
        if (buckets_.empty() || now >= buckets_.back().start + width) buckets_.push_back({now, width, 0});
        ++buckets_.back().count;
        ++total_;
    }
    /// Events in (now - window, now].
    [[nodiscard]] std::uint64_t count(Millis now) {
        drop(now);
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

    void drop(Millis now) {
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
