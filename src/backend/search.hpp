// The OpenSearch-style API on a connection to a track host: one search of one slice at a time.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "backend/pool.hpp"
#include "net/http.hpp"

namespace beechpoint::backend {

using IndexOfClass = std::map<std::string, std::string, std::less<>>;

std::string searchRequest(const Attempt& attempt, const std::string& index, Millis wait);
// What an answer of this API says of the attempt.
Outcome searchOutcome(int status, std::string_view body);

class SearchConnection : public HostConnection {
public:
    SearchConnection(Pool& pool, std::string server, const IndexOfClass& indexes);
    static Pool::Make maker(IndexOfClass indexes);
    void abandon(AttemptId attempt) override;

private:
    std::size_t callsOut() const override { return out_ || probing_ ? 1 : 0; }
    bool partsOut() const override { return filling_ || callsOut() > 0; }
    void read() override;
    void fill() override;
    void askProbe() override { ++probesWaiting_; }
    std::vector<Lost> lost() override;
    void write(std::string text);
    void writeSome();
    void onAnswer();

    const IndexOfClass& indexes_;
    net::HttpReader reader_;
    std::optional<AttemptId> out_;
    bool written_ = false, probing_ = false, filling_ = false;
    int probesWaiting_ = 0;
    std::string outgoing_;  // what of the request in hand has not gone yet
};

}  // namespace beechpoint::backend
