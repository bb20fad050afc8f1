// The log's lines: text, JSON, one line an event whatever a host sent, and no wait for the reader.
#include "core/logger.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

using namespace beechpoint;

namespace {

// A pipe in place of standard error.
struct Pipe {
    Pipe() {
        if (::pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error("can't make a pipe");
    }
    ~Pipe() {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    // All that was written and not read yet; waits for nothing.
    std::string read() {
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
        std::string all(1 << 20, '\0');
        std::size_t size = 0;
        while (true) {
            const ssize_t got = ::read(ends[0], all.data() + size, all.size() - size);
            if (got <= 0) break;
            size += static_cast<std::size_t>(got);
        }
        all.resize(size);
        return all;
    }
    int ends[2];
};

struct LoggerFixture {
    explicit LoggerFixture(logging::Format format) : log(clock, format, pipe.ends[1]) {
        clock.set(Clock::kOrigin + 1500);
    }
    Pipe pipe;
    Clock clock;
    Logger log;
};

TEST(Logger, WritesOneTextLineAnEvent) {
    LoggerFixture fixture(logging::Format::text);
    fixture.log.info("host {} has {} parts", field("host", std::string("h1")), field("parts", 3));
    fixture.log.warn("a peer sent {}", field("words", std::string("one\ntwo\x1b")));
    fixture.log.seldom("k", "again {}", field("n", 1));
    fixture.log.seldom("k", "again {}", field("n", 2));
    fixture.clock.set(fixture.clock.now() + 1000);
    fixture.log.seldom("k", "again {}", field("n", 3));
    EXPECT_EQ(fixture.pipe.read(),
              "1.500 info host h1 has 3 parts\n1.500 warn a peer sent one two \n1.500 warn again 1\n"
              "2.500 warn again 3 (1 more like this left out)\n");
}

TEST(Logger, WritesOneJsonObjectAnEvent) {
    LoggerFixture fixture(logging::Format::json);
    fixture.log.warn("can't reach host {}: {}", field("host", std::string("h\"1")),
                     field("error", std::string("\xff\n")));
    const std::string text = fixture.pipe.read();
    ASSERT_EQ(text.find('\n'), text.size() - 1);
    const auto line = nlohmann::json::parse(text);
    EXPECT_EQ(line["time"], 1.5);
    EXPECT_EQ(line["level"], "warn");
    EXPECT_EQ(line["kind"], "cant-reach-host");
    EXPECT_EQ(line["fields"]["host"], "h\"1");
    EXPECT_EQ(line["text"].get<std::string>().rfind("can't reach host h\"1", 0), 0);
    fixture.log.info("{}", field("decision", std::string("server fails: s1")));
    EXPECT_EQ(nlohmann::json::parse(fixture.pipe.read())["kind"], "decision");
}

TEST(Logger, DropsAndCountsLinesWhenNobodyReads) {
    for (const auto format : {logging::Format::text, logging::Format::json}) {
        LoggerFixture fixture(format);
        const std::string words(200, 'x');
        for (int i = 0; i < 20'000; ++i) fixture.log.info("line {}", field("words", words));
        EXPECT_GT(fixture.log.lost(), 10'000);
        const std::string lost = std::to_string(fixture.log.lost());
        const std::string before = fixture.pipe.read();
        ASSERT_GT(before.size(), 4096);
        EXPECT_EQ(before.back(), '\n');
        fixture.log.info("again");
        EXPECT_NE(fixture.pipe.read().find(format == logging::Format::json ? "\"lost\":" + lost
                                                                           : "(" + lost + " lines before"),
                  std::string::npos);
        fixture.log.info("and again");
        EXPECT_EQ(fixture.pipe.read().find("lost"), std::string::npos);
        EXPECT_EQ(fixture.pipe.read().find("lines before"), std::string::npos);
    }
}

TEST(Logger, TruncatesLineWhenTooLong) {
    LoggerFixture fixture(logging::Format::text);
    fixture.log.info("line {}", field("words", std::string(100'000, 'x')));
    const std::string text = fixture.pipe.read();
    ASSERT_EQ(text.size(), 4096);
    EXPECT_EQ(text.back(), '\n');
    LoggerFixture json(logging::Format::json);
    json.log.info("line {}", field("words", std::string(100'000, '\x01')));
    EXPECT_EQ(nlohmann::json::parse(json.pipe.read())["kind"], "line");
}

// On a long day hosts come and go under new ids, and each is a kind of line of its own.
TEST(Logger, KeepsBoundedKindsWhenHostsComeAndGo) {
    Clock clock;
    Logger log(clock, logging::Format::text, -1);
    for (int i = 0; i < 1000; ++i) {
        clock.set(Clock::kOrigin + i * 100.0);
        log.seldom("dial " + std::to_string(i), "host {}", i);
        log.seldom("same", "again");
    }
    EXPECT_LE(log.kinds(), 65);
}

}  // namespace
