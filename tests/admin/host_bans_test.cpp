// Hosts taken out by hand, against whatever discovery says of them.
#include "admin/host_bans.hpp"

#include <gtest/gtest.h>

using namespace beechpoint;
using beechpoint::admin::HostBans;
using coordinator::ListKind;
using coordinator::ServerState;

namespace {

HostList say(ListKind kind, ServerState state, const std::string& id = "a",
             coordinator::Nanos startedAt = 0) {
    HostEntry host;
    host.entry.id = id;
    host.entry.state = state;
    host.entry.startedAt = startedAt;
    return {kind, {host}};
}

ServerState told(HostBans& bans, const HostList& list) {
    return bans.overlay(list).entries.at(0).entry.state;
}

TEST(HostBans, OutWhateverDiscoverySays) {
    HostBans bans;
    EXPECT_EQ(told(bans, say(ListKind::remembered, ServerState::up)), ServerState::up);
    const HostList out = bans.take({"a"});
    ASSERT_EQ(out.entries.size(), 1u);
    EXPECT_EQ(out.kind, ListKind::changes);
    EXPECT_EQ(out.entries[0].entry.state, ServerState::draining);
    for (const ListKind kind : {ListKind::changes, ListKind::complete, ListKind::remembered}) {
        EXPECT_EQ(told(bans, say(kind, ServerState::up)), ServerState::draining);
        EXPECT_EQ(told(bans, say(kind, ServerState::draining)), ServerState::draining);
        EXPECT_EQ(told(bans, say(kind, ServerState::removed)), ServerState::removed);
        EXPECT_EQ(told(bans, say(kind, ServerState::up, "b")), ServerState::up);
    }
}

TEST(HostBans, BackAsDiscoveryLastSaw) {
    HostBans bans;
    bans.overlay(say(ListKind::complete, ServerState::up));
    bans.take({"a"});
    EXPECT_TRUE(bans.take({"a"}).entries.empty());                   // out twice is as once
    bans.overlay(say(ListKind::changes, ServerState::up, "a", 77));  // restarted meanwhile
    const HostList back = bans.take({});
    ASSERT_EQ(back.entries.size(), 1u);
    EXPECT_EQ(back.entries[0].entry.state, ServerState::up);
    EXPECT_EQ(back.entries[0].entry.startedAt, 77);
}

TEST(HostBans, GoneAndBackIsStillOut) {
    HostBans bans;
    bans.overlay(say(ListKind::complete, ServerState::up));
    bans.take({"a"});
    bans.overlay(say(ListKind::changes, ServerState::removed));
    EXPECT_TRUE(bans.knows("a"));  // it can be put back while nobody lists it
    EXPECT_FALSE(bans.knows("b"));
    EXPECT_EQ(told(bans, say(ListKind::changes, ServerState::up)), ServerState::draining);
    bans.overlay(say(ListKind::changes, ServerState::removed));
    EXPECT_TRUE(bans.take({}).entries.empty());  // nothing to tell: it is not listed
    EXPECT_FALSE(bans.knows("a"));
}

}  // namespace
