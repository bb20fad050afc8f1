#include "host_discovery/list_reader.hpp"

#include <gtest/gtest.h>

namespace beechpoint::host_discovery {
namespace {

using Outcome = ListReader::Outcome;

std::string entry(const std::string& id, const std::string& more = "") {
    return R"({"instance_id":")" + id + R"(","backend":"s","address":"10.0.0.1:80","state":"serving")" +
           more + "}";
}

std::string page(const std::vector<std::string>& entries, const std::string& next = "") {
    std::string text = R"({"instances":[)";
    for (const std::string& one : entries) text += (text.back() == '[' ? "" : ",") + one;
    return text + R"(],"next_page_token":)" + (next.empty() ? "null" : "\"" + next + "\"") + "}";
}

class ListReaderTest : public ::testing::Test {
protected:
    // Goes on to the next call and answers it.
    Outcome answer(int status, const std::string& body) {
        expectCall();
        return reader.onAnswer(now, status, body);
    }
    Outcome answer(const std::string& body) { return answer(200, body); }
    std::string expectCall() {
        EXPECT_TRUE(reader.nextAt().has_value());
        now = std::max(now, reader.nextAt().value_or(now));
        const auto call = reader.nextCall(now);
        EXPECT_TRUE(call.has_value());
        return call ? call->target : "";
    }
    std::vector<std::string> ids() const {
        std::vector<std::string> ids;
        for (const Host& host : reader.list()->hosts) ids.push_back(host.instanceId);
        return ids;
    }
    using Ids = std::vector<std::string>;

    Millis now = 1000;
    ListReader::Settings settings;
    ListReader reader{settings, 1, 42};
};

TEST_F(ListReaderTest, MakesNoCallBeforeStartAndAfterStop) {
    EXPECT_FALSE(reader.nextAt().has_value());
    EXPECT_FALSE(reader.nextCall(now).has_value());
    reader.start(now, 3, 0, nullptr);
    EXPECT_EQ(expectCall(), "/instances");
    EXPECT_FALSE(reader.nextCall(now).has_value());  // one call at a time
    reader.stop();
    EXPECT_EQ(reader.onAnswer(now, 200, page({entry("a")})), Outcome::nothing);
    EXPECT_FALSE(reader.list());
    EXPECT_FALSE(reader.nextCall(now + 10000).has_value());
}

TEST_F(ListReaderTest, NumbersEachVersionUnderItsFencingToken) {
    reader.start(now, 3, 10, nullptr);
    EXPECT_EQ(answer(page({entry("a")})), Outcome::changed);
    EXPECT_EQ(reader.list()->version, (HostListVersion{3, 11, 42}));
    const Millis first = now;
    EXPECT_EQ(answer(page({entry("a")})), Outcome::confirmed);
    EXPECT_EQ(now, first + settings.period);
    EXPECT_EQ(reader.confirmedAt(), now);
    EXPECT_EQ(reader.list()->version.number, 11u);
    reader.raiseNumber(20);
    EXPECT_EQ(answer(page({entry("a"), entry("b")})), Outcome::changed);
    EXPECT_EQ(reader.list()->version.number, 21u);
}

TEST_F(ListReaderTest, CallsForNextPageAtOnce) {
    reader.start(now, 1, 0, nullptr);
    EXPECT_EQ(answer(page({entry("a")}, "p 50&x")), Outcome::nothing);
    const Millis begun = now;
    EXPECT_EQ(expectCall(), "/instances?page_token=p%2050%26x");
    EXPECT_EQ(now, begun);
    EXPECT_EQ(reader.onAnswer(now, 200, page({entry("b")})), Outcome::changed);
    EXPECT_EQ(ids(), (Ids{"a", "b"}));
}

TEST_F(ListReaderTest, ReadsLongListsLessOften) {
    reader.start(now, 1, 0, nullptr);
    const Millis begun = now;
    for (int number = 0; number < 9; number++)
        answer(page({entry("a" + std::to_string(number))}, "p" + std::to_string(number)));
    EXPECT_EQ(answer(page({entry("z")})), Outcome::changed);
    EXPECT_EQ(reader.nextAt(), begun + 10 * settings.periodPerPage);
}

TEST_F(ListReaderTest, KeepsMissingHostUntilNextReadingConfirmsItsAbsence) {
    reader.start(now, 1, 0, nullptr);
    answer(page({entry("a"), entry("b", R"(,"warmup_left_ms":10000)")}));
    EXPECT_EQ(answer(page({entry("a")})), Outcome::confirmed);
    EXPECT_EQ(ids(), (Ids{"a", "b"}));
    EXPECT_EQ(answer(page({entry("a"), entry("b", R"(,"warmup_left_ms":8500)")})), Outcome::confirmed);
    answer(page({entry("a")}));
    EXPECT_EQ(answer(page({entry("a")})), Outcome::changed);
    EXPECT_EQ(ids(), (Ids{"a"}));
}

TEST_F(ListReaderTest, SubtractsPassedTimeOfMissingHost) {
    reader.start(now, 1, 0, nullptr);
    answer(page({entry("a", R"(,"warmup_left_ms":10000,"remaining_ms":500)")}));
    EXPECT_EQ(answer(page({entry("c")})), Outcome::changed);
    EXPECT_EQ(reader.list()->hosts.front().warmupLeft, 10000 - settings.period);
    EXPECT_EQ(reader.list()->hosts.front().remaining, 0);
}

TEST_F(ListReaderTest, RestartsTornReading) {
    reader.start(now, 1, 0, nullptr);
    answer(page({entry("a"), entry("b")}, "p1"));
    EXPECT_EQ(answer(page({entry("b"), entry("c")})), Outcome::nothing);
    EXPECT_EQ(expectCall(), "/instances");
    reader.onAnswer(now, 200, page({entry("b"), entry("c")}, "p1"));
    EXPECT_EQ(answer(page({entry("d")})), Outcome::changed);
    EXPECT_EQ(ids(), (Ids{"b", "c", "d"}));
}

TEST_F(ListReaderTest, RemovesNoHostAfterReadingsTornRepeatedly) {
    reader.start(now, 1, 0, nullptr);
    answer(page({entry("a"), entry("b")}));
    for (int reading = 0; reading < 3; reading++) {
        for (int attempt = 0; attempt <= settings.maxRestarts; attempt++) {
            answer(page({entry("b")}, "p1"));
            answer(page({entry("b"), entry("c")}));
        }
        EXPECT_EQ(ids(), (Ids{"a", "b", "c"}));
    }
}

TEST_F(ListReaderTest, RemovesNoHostWhenAnEntryIsUnreadable) {
    reader.start(now, 1, 0, nullptr);
    answer(page({entry("a"), entry("b")}));
    for (int reading = 0; reading < 3; reading++) {
        answer(page({entry("a"), R"({"instance_id":7})"}));
        EXPECT_EQ(ids(), (Ids{"a", "b"}));
    }
}

TEST_F(ListReaderTest, RemovesNoHostAndBacksOffAfterFailures) {
    reader.start(now, 1, 0, nullptr);
    answer(page({entry("a")}));
    const auto known = reader.list();
    Millis last = 0;
    for (int failure = 0; failure < 12; failure++) {
        Outcome outcome = Outcome::nothing;
        if (failure % 3 == 0) outcome = answer(429, "");
        if (failure % 3 == 1) outcome = answer(200, "{");
        if (failure % 3 == 2) {
            expectCall();
            outcome = reader.onFailure(now);
        }
        EXPECT_EQ(outcome, Outcome::failed);
        const Millis backoff = *reader.nextAt() - now;
        EXPECT_LE(backoff, settings.backoffMost);
        EXPECT_LE(backoff, failure == 0 ? settings.backoffFirst : settings.backoffMost);
        EXPECT_GE(backoff, failure >= 4 ? settings.backoffMost / 2 : 0);
        last = backoff;
    }
    EXPECT_GT(last, 0);
    EXPECT_EQ(reader.list(), known);
    EXPECT_EQ(reader.failures(), 12);
    EXPECT_EQ(answer(page({entry("a")})), Outcome::confirmed);
    EXPECT_EQ(reader.failures(), 0);
}

TEST_F(ListReaderTest, RestartsReadingAfterFailureBetweenPages) {
    reader.start(now, 1, 0, nullptr);
    answer(page({entry("a")}, "p1"));
    EXPECT_EQ(answer(500, ""), Outcome::failed);
    EXPECT_EQ(expectCall(), "/instances");
}

TEST_F(ListReaderTest, FailsWhenPagesDoNotEnd) {
    settings.maxPages = 3;
    reader = ListReader(settings, 1, 42);
    reader.start(now, 1, 0, nullptr);
    answer(page({entry("a")}, "p1"));
    EXPECT_EQ(answer(page({entry("b")}, "p1")), Outcome::failed);  // leads to itself
    answer(page({entry("a")}, "p1"));
    answer(page({entry("b")}, "p2"));
    EXPECT_EQ(answer(page({entry("c")}, "p3")), Outcome::failed);
}

TEST_F(ListReaderTest, FailsWhenHostsExceedTheBound) {
    settings.maxHosts = 2;
    reader = ListReader(settings, 1, 42);
    reader.start(now, 1, 0, nullptr);
    EXPECT_EQ(answer(page({entry("a"), entry("b"), entry("c")})), Outcome::failed);
}

TEST_F(ListReaderTest, ContinuesFromListOfAnotherReader) {
    const auto known = std::make_shared<const HostList>([] {
        HostList list{{1, 5, 7}, 900, {}};
        const std::string text = R"({"instances":[)" + entry("a") + "," + entry("b") + "]}";
        list.hosts = parsePage(text).value().hosts;
        return list;
    }());
    reader.start(now, 2, 5, known);
    EXPECT_EQ(answer(page({entry("a"), entry("b")})), Outcome::confirmed);
    EXPECT_EQ(reader.list()->version, known->version);
    answer(page({entry("a")}));
    EXPECT_EQ(answer(page({entry("a")})), Outcome::changed);
    EXPECT_EQ(reader.list()->version, (HostListVersion{2, 6, 42}));
}

}  // namespace
}  // namespace beechpoint::host_discovery
