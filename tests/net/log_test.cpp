// The log's lines: text, JSON, one line an event whatever a peer sent, and never a wait for whoever reads
// them.
#include <fcntl.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "check.hpp"

using namespace beechpoint;
using namespace beechpoint::test;

namespace {

struct Pipe {
    Pipe() { CHECK(::pipe2(ends, O_CLOEXEC) == 0); }
    ~Pipe() {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    std::string read() {
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
        std::string all(1 << 20, '\0');
        std::size_t size = 0;
        for (ssize_t got; (got = ::read(ends[0], all.data() + size, all.size() - size)) > 0;)
            size += static_cast<std::size_t>(got);
        all.resize(size);
        return all;
    }
    int ends[2];
};

struct Bed {
    explicit Bed(logging::Format format) : log(clock, format, pipe.ends[1]) {
        clock.set(Clock::kOrigin + 1500);
    }
    Pipe pipe;
    Clock clock;
    Logger log;
};

void linesAsText() {
    Bed bed(logging::Format::text);
    bed.log.info("host {} has {} parts", field("host", std::string("h1")), field("parts", 3));
    bed.log.warn("a peer sent {}", field("words", std::string("one\ntwo\x1b")));
    bed.log.seldom("k", "again {}", field("n", 1));
    bed.log.seldom("k", "again {}", field("n", 2));
    bed.clock.set(bed.clock.now() + 1000);
    bed.log.seldom("k", "again {}", field("n", 3));
    CHECK(bed.pipe.read() ==
          "1.500 info host h1 has 3 parts\n1.500 warn a peer sent one two \n1.500 warn again 1\n"
          "2.500 warn again 3 (1 more like this left out)\n");
}

void linesAsJson() {
    Bed bed(logging::Format::json);
    bed.log.warn("can't reach host {}: {}", field("host", std::string("h\"1")),
                 field("error", std::string("\xff\n")));
    const std::string text = bed.pipe.read();
    CHECK(text.find('\n') == text.size() - 1);
    const auto line = nlohmann::json::parse(text);
    CHECK(line["time"] == 1.5 && line["level"] == "warn" && line["kind"] == "cant-reach-host");
    CHECK(line["fields"]["host"] == "h\"1" &&
          line["text"].get<std::string>().rfind("can't reach host h\"1", 0) == 0);
    bed.log.info("{}", field("decision", std::string("server fails: s1")));
    CHECK(nlohmann::json::parse(bed.pipe.read())["kind"] == "decision");
}

// Nobody reads: the loop goes on, and what was lost is counted and told.
void neverWaits() {
    for (const auto format : {logging::Format::text, logging::Format::json}) {
        Bed bed(format);
        const std::string words(200, 'x');
        for (int i = 0; i < 20'000; ++i) bed.log.info("line {}", field("words", words));
        CHECK(bed.log.lost() > 10'000);
        const std::string lost = std::to_string(bed.log.lost());
        const std::string before = bed.pipe.read();
        CHECK(before.size() > 4096 && before.back() == '\n');
        bed.log.info("again");
        CHECK(bed.pipe.read().find(format == logging::Format::json
                                       ? "\"lost\":" + lost
                                       : "(" + lost + " lines before") != std::string::npos);
        bed.log.info("and again");
        CHECK(bed.pipe.read().find("lost") == std::string::npos &&
              bed.pipe.read().find("lines before") == std::string::npos);
    }
}

void cutsWhatIsTooLong() {
    Bed bed(logging::Format::text);
    bed.log.info("line {}", field("words", std::string(100'000, 'x')));
    const std::string text = bed.pipe.read();
    CHECK(text.size() == 4096 && text.back() == '\n');
    Bed json(logging::Format::json);
    json.log.info("line {}", field("words", std::string(100'000, '\x01')));
    CHECK(nlohmann::json::parse(json.pipe.read())["kind"] == "line");
}

}  // namespace

int main() {
    linesAsText();
    linesAsJson();
    neverWaits();
    cutsWhatIsTooLong();
}
