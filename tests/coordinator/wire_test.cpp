// The adapter's wire, with messages of the project's own making.
#include <gtest/gtest.h>

#include <sstream>

#include "host.hpp"

namespace {

const std::string kSettings =
    R"({"balancers":1,"classes":[{"name":"find","promise":1000000000,"deadline":3000000000,"effect":"safe"}],)"
    R"("familyInfo":{"cells":1,"span":1,"shards":2},"permissions":{"maxAttempts":3,"parallelTries":true},)"
    R"("rules":{"answerSlack":20000000},"tick":5000000,"someNewKey":[1,{}]})";
const std::string kStart =
    "SWITCH_TO\t4\nPROVISION\t7\t" + kSettings +
    "\nSNAPSHOT_ROWS\t0\t1\nITEM\t-\tz\t1\tup\t10.0.0.1:80\t0\tk\nMEMBERS\t0\t1\tPersisted\n";
const std::string kQuery =
    "INBOUND\t9\t-1\tfind\t0\t1\t0\t-\t4000000000\t1\t-\nINBOUND\t10\t1\tfind\t0\t1\t0\t-\t4000000000\t1\t-"
    "\n";

std::string batch(const std::string& clock, const std::string& body) {
    return "BEGIN_BATCH\t" + clock + "\n" + body + "GO\n";
}

struct Result {
    int status;
    std::string out, errors;
};

Result play(const std::string& input) {
    std::istringstream in(input);
    std::ostringstream out, errors;
    const int status = beechpoint::coordinator::simulator_adapter::Host().run(in, out, errors);
    return {status, out.str(), errors.str()};
}

}  // namespace

TEST(Wire, EmptyBatch) {
    const Result r = play("BEGIN_BATCH\t5\nGO\n");
    EXPECT_EQ(r.status, 0);
    EXPECT_EQ(r.out, "ACK\n");
}

TEST(Wire, SendsAndAnswers) {
    const Result r = play(
        batch("1000000000", kStart + kQuery) +
        batch("1050000000", "SWITCH_TO\t4\nRESULT\t10\t0\t10.0.0.1:80\tserved\t50000000\t1\tinflight:2\n"));
    EXPECT_EQ(r.status, 0) << r.errors;
    EXPECT_NE(r.out.find("\nSEND\t10\t10.0.0.1:80\t"), std::string::npos) << r.out;
    EXPECT_NE(r.out.find("GATHER_UP\t9\t1\n"), std::string::npos) << r.out;
}

TEST(Wire, ListNumbersAreUsedAgainInOrderOfEvents) {
    const Result r =
        play(batch("1000000000", kStart +
                                     "SNAPSHOT_ROWS\t0\t1\nITEM\t-\tz\t1\tup\t10.0.0.2:80\t0\tk\n"
                                     "MEMBERS\t0\t2\tComplete\n" +
                                     kQuery));
    EXPECT_NE(r.out.find("SEND\t10\t10.0.0.2:80"), std::string::npos) << r.out;
}

TEST(Wire, KilledAndProvisionedInOneBatchStartsAnew) {
    const Result r =
        play(batch("1000000000", kStart + kQuery + "CRASH_NOW\n" + kStart) +
             batch("1050000000", "SWITCH_TO\t4\nRESULT\t10\t0\t10.0.0.1:80\tserved\t50000000\t1\t-\n"));
    EXPECT_EQ(r.status, 0) << r.errors;
    EXPECT_EQ(r.out.find("SEND"), std::string::npos) << r.out;
    EXPECT_EQ(r.out.find("GATHER_UP"), std::string::npos) << r.out;
}

TEST(Wire, MalformedLinesNameMessageFieldAndExpectation) {
    const Result r = play(batch("1000000000", kStart + "RESULT\t10\tx\t10.0.0.1:80\tserved\t1\t1\t-\n"));
    EXPECT_EQ(r.status, 1);
    EXPECT_NE(r.errors.find("RESULT, field copy"), std::string::npos) << r.errors;
    EXPECT_NE(r.out.find("CRASH\t"), std::string::npos);
    EXPECT_EQ(play(batch("1", "SWITCH_TO\t1\nNOSUCH\t1\n")).status, 1);
    EXPECT_EQ(play("BEGIN_BATCH\t5\n").status, 1);
    const Result missing = play(batch("1", "SWITCH_TO\t1\nPROVISION\t7\t{\"classes\":[]}\n"));
    EXPECT_EQ(missing.status, 1);
    EXPECT_NE(missing.errors.find("familyInfo"), std::string::npos) << missing.errors;
}
