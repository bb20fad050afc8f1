// What goes between a gatherer and the track hosts: the platform's frames, both ways, and a search request.
#include <string>

#include "backend/frame.hpp"
#include "backend/search.hpp"
#include "golden_file.hpp"

namespace beechpoint::golden {
namespace {

using backend::Frame;
using backend::FrameState;

Request sampleRequest() {
    Request request;
    request.id = "trace-7_A";
    request.text = "{\"query\":{\"match\":{\"title\":\"büche\"}}}";
    return request;
}

std::string frameOf(char letter, std::string_view rest) {
    std::string out;
    backend::writeFrame(out, letter, rest);
    return out;
}

// Expects the frame as it was written before, and returns what it carries.
std::string checkFrame(const std::string& name, char letter, const std::string& rest) {
    SCOPED_TRACE(name);
    const std::string bytes = expectGolden("host_frames", name, frameOf(letter, rest));
    Frame frame;
    EXPECT_EQ(backend::readFrame(bytes, frame), FrameState::complete);
    EXPECT_EQ(frame.letter, letter);
    EXPECT_EQ(frame.size, bytes.size());
    EXPECT_EQ(frame.rest, rest);
    return std::string(frame.rest);
}

TEST(HostFrames, RequestOfOnePart) {
    const Request request = sampleRequest();
    std::string body;
    backend::writePart(body, backend::partId(request, 3), 3, 250.9, request.text);
    const std::string rest = checkFrame("request_one_part", 'S', body);
    const auto parts = backend::readParts(rest);
    ASSERT_TRUE(parts);
    ASSERT_EQ(parts->size(), 1u);
    EXPECT_EQ(parts->front().id, "trace-7_A.3");
    EXPECT_EQ(parts->front().slice, 3);
    EXPECT_EQ(parts->front().wait, 250);
    EXPECT_EQ(parts->front().text, request.text);
}

TEST(HostFrames, RequestOfSeveralParts) {
    std::string body;
    backend::writePart(body, "a.0", 0, 0.2, "first\nline");
    backend::writePart(body, "b.17", 17, 86'400'000, "");
    const std::string rest = checkFrame("request_two_parts", 'S', body);
    const auto parts = backend::readParts(rest);
    ASSERT_TRUE(parts);
    ASSERT_EQ(parts->size(), 2u);
    EXPECT_EQ(parts->at(0).id, "a.0");
    EXPECT_EQ(parts->at(0).slice, 0);
    EXPECT_EQ(parts->at(0).wait, 1);  // never 0: that would mean that the time is over
    EXPECT_EQ(parts->at(0).text, "first\nline");
    EXPECT_EQ(parts->at(1).id, "b.17");
    EXPECT_EQ(parts->at(1).slice, 17);
    EXPECT_EQ(parts->at(1).wait, 86'400'000);
    EXPECT_EQ(parts->at(1).text, "");
}

TEST(HostFrames, Cancel) { checkFrame("cancel", 'C', backend::partId(sampleRequest(), 3)); }

TEST(HostFrames, Probes) {
    checkFrame("probe", 'H', "");
    checkFrame("probe_with_report", 'M', "");
    checkFrame("probe_answer", 'H', "done");
    checkFrame("probe_answer_without_report", 'M', "-");
    const std::string report = checkFrame("probe_answer_with_report", 'M', "cpu=0.75,queue=12");
    const auto load = backend::readReport(report);
    ASSERT_TRUE(load);
    ASSERT_EQ(load->size(), 2u);
    EXPECT_EQ(load->at(0).name, "cpu");
    EXPECT_EQ(load->at(0).value, 0.75);
    EXPECT_EQ(load->at(1).name, "queue");
    EXPECT_EQ(load->at(1).value, 12);
}

TEST(HostFrames, Refusal) { checkFrame("refusal", 'F', "the frame could not be used"); }

// A result, as a track host sends it, with its outcome as the gatherer takes it.
void checkResult(const std::string& name, const std::string& rest, Outcome outcome, std::size_t loadValues,
                 const std::string& value) {
    const std::string carried = checkFrame(name, 'R', rest);
    const auto result = backend::readResult(carried);
    ASSERT_TRUE(result) << name;
    EXPECT_EQ(result->id, "trace-7_A.3") << name;
    EXPECT_EQ(result->outcome, outcome) << name;
    EXPECT_EQ(result->score, "0.5") << name;
    EXPECT_EQ(result->load.size(), loadValues) << name;
    EXPECT_EQ(result->value, value) << name;
}

TEST(HostFrames, Results) {
    checkResult("result_done", "trace-7_A.3 done 0.5 -\nvalue\nof two lines", Outcome::served, 0,
                "value\nof two lines");
    checkResult("result_done_with_report", "trace-7_A.3 done 0.5 cpu=0.25,queue=3\nvalue", Outcome::served, 2,
                "value");
    checkResult("result_failed", "trace-7_A.3 failed 0.5 -\n", Outcome::error, 0, "");
    checkResult("result_full", "trace-7_A.3 full 0.5 cpu=1\n", Outcome::turnedAway, 1, "");
}

TEST(HostFrames, LongestFrame) {
    const std::string rest(backend::kMaxFrame - 1, 'x');
    const std::string bytes = frameOf('R', rest);
    expectGolden("host_frames", "head_of_the_longest", bytes.substr(0, 5));
    Frame frame;
    EXPECT_EQ(backend::readFrame(bytes, frame), FrameState::complete);
    EXPECT_EQ(backend::readFrame(frameOf('R', rest + "x"), frame), FrameState::bad);
}

TEST(HostFrames, SearchRequest) {
    Attempt attempt;
    attempt.request = std::make_shared<const Request>(sampleRequest());
    attempt.slice = 3;
    const std::string bytes =
        expectGolden("host_frames", "search_request", backend::searchRequest(attempt, "tracks", 250.9));
    EXPECT_TRUE(bytes.starts_with("POST /tracks/_search?preference=_shards:3&"));
    EXPECT_TRUE(bytes.ends_with("\r\n\r\n" + sampleRequest().text));
}

}  // namespace
}  // namespace beechpoint::golden
