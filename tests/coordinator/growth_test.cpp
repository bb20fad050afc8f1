// What the module keeps of servers ends with them, however many come and go.
#include <gtest/gtest.h>

#include <cstdlib>
#include <new>

#include "coordinator_fixture.hpp"

namespace {
long live = 0;  // blocks of memory in use
}
void* operator new(std::size_t size) {
    void* const block = std::malloc(size == 0 ? 1 : size);
    if (!block) throw std::bad_alloc();
    ++live;
    return block;
}
void* operator new(std::size_t size, const std::nothrow_t&) noexcept {
    void* const block = std::malloc(size == 0 ? 1 : size);
    live += block != nullptr;
    return block;
}
void operator delete(void* block) noexcept {
    live -= block != nullptr;
    std::free(block);
}
void operator delete(void* block, std::size_t) noexcept { operator delete(block); }

namespace beechpoint::coordinator::test {

TEST(Growth, ServersThatAreGoneForLongAreForgotten) {
    CoordinatorFixture b;
    int serial = 0;
    const auto replaced = [&](int times) {  // one server after another, each with a query that it served
        for (int i = 0; i < times; ++i) {
            const std::string id = "server-with-a-long-name-" + std::to_string(++serial);
            b.change(CoordinatorFixture::up(id));
            b.warm(
                3, [](const std::string&) { return 5 * kMs; }, static_cast<RequestId>(serial) * 10);
            b.change(CoordinatorFixture::up(id, 0, ServerState::removed));
            b.pass(12 * kS);
            b.actions.clear(), b.sent.clear(), b.tries.clear();
        }
        return live;
    };
    const long before = replaced(50);
    EXPECT_LT(replaced(500) - before, 100);
}

TEST(Growth, WhoIsStillOutAtAServerThatIsGoneEndsAsUsual) {
    CoordinatorFixture b(basic(), {"a"});
    b.query(1);
    ASSERT_EQ(b.sent.size(), 1u);
    b.change(CoordinatorFixture::up("a", 0, ServerState::removed));
    b.pass(30 * kS);
    b.change(CoordinatorFixture::up("b"));  // looks over those that are gone
    b.change(CoordinatorFixture::up("c"));
    b.end(0, Outcome::connectionLost);
    EXPECT_EQ(b.finals(1), 1);
}

}  // namespace beechpoint::coordinator::test
