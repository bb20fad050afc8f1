#include "upstream/upstream.hpp"

namespace beechpoint::upstream {

std::string_view nameOf(FailureKind kind) {
    switch (kind) {
        case FailureKind::noCapacity:
            return "noCapacity";
        case FailureKind::notConnected:
            return "notConnected";
        case FailureKind::resetBeforeAnswer:
            return "resetBeforeAnswer";
        case FailureKind::brokenAnswer:
            return "brokenAnswer";
        case FailureKind::malformedAnswer:
            return "malformedAnswer";
        case FailureKind::foreignAnswer:
            return "foreignAnswer";
        case FailureKind::timedOut:
            return "timedOut";
        case FailureKind::cancelled:
            return "cancelled";
    }
    return "unknown";
}

}  // namespace beechpoint::upstream
