#include "upstream/answer_head_reader.hpp"

#include <algorithm>

namespace beechpoint::upstream {

namespace {

constexpr std::string_view kAnswerBegin = "HTTP/1.";
constexpr std::string_view kAttemptId = "X-Attempt-Id";
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;

// Whether bytes that are no complete head yet may still become one.
bool mayBeHead(std::string_view bytes, std::string_view head, std::size_t maxHead) {
    const std::size_t size = std::min(bytes.size(), kAnswerBegin.size());
    if (bytes.substr(0, size) != kAnswerBegin.substr(0, size)) return false;
    return head.size() <= maxHead && !net::holdsBareLineEnd(head);
}

}  // namespace

ReceivedHead readAnswerHead(std::string_view bytes, std::string_view method, std::size_t maxHead) {
    ReceivedHead received;
    received.status = HeadStatus::malformed;
    received.size = net::headEnd(bytes);
    const std::string_view text = bytes.substr(0, received.size > 0 ? received.size : bytes.size());
    if (!mayBeHead(bytes, text, maxHead)) return received;
    if (received.size == 0) {
        received.status = HeadStatus::incomplete;
        return received;
    }
    const auto head = net::parseAnswerHead(text);
    if (!head) return received;
    const auto framing = net::answerFraming(*head, method);
    if (!framing || head->status == kSwitchingProtocols) return received;
    received.status = head->status < kFirstFinalStatus ? HeadStatus::interim : HeadStatus::final;
    received.head = *head;
    received.framing = *framing;
    return received;
}

bool belongsTo(const net::MessageHead& head, const Request& request) {
    const std::size_t count = head.count(kAttemptId);
    if (count == 0) return request.attemptId.empty() || !request.requireAttemptId;
    return count == 1 && head.header(kAttemptId) == request.attemptId;
}

std::optional<Millis> statedIdleTime(const net::MessageHead& head) {
    constexpr std::string_view kTimeout = "timeout=";
    std::string_view rest = head.header("Keep-Alive");
    while (!rest.empty()) {
        const auto comma = std::min(rest.find(','), rest.size());
        std::string_view parameter = rest.substr(0, comma);
        rest.remove_prefix(std::min(comma + 1, rest.size()));
        while (parameter.starts_with(' ')) parameter.remove_prefix(1);
        if (!net::sameName(parameter.substr(0, kTimeout.size()), kTimeout)) continue;
        const auto seconds = net::decimalNumber(parameter.substr(kTimeout.size()));
        if (seconds) return static_cast<Millis>(*seconds) * 1000;
    }
    return std::nullopt;
}

AnswerHead answerHead(const net::MessageHead& head, const net::BodyFraming& framing) {
    AnswerHead answer;
    answer.status = head.status;
    answer.headers = endToEndHeaders(head.headers);
    if (head.count("Content-Length") == 1)
        answer.contentLength = net::decimalNumber(head.header("Content-Length"));
    answer.noBody = framing.kind == net::BodyFraming::Kind::none;
    answer.closeDelimited = framing.kind == net::BodyFraming::Kind::toEnd;
    answer.hostCloses = !head.keepAlive();
    return answer;
}

}  // namespace beechpoint::upstream
