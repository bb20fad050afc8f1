/// A full table that comes in chunks, in the order of its keys (SyncReply). The chunks may be sent at different positions of the table, while
/// writes go on: each row is as it was when its chunk was sent, and the last chunk adds all that changed since the first one, so that the result
/// is the table at the last chunk's position (a fuzzy snapshot with the log that follows it, as in ARIES).
///
/// This is so only where no chunk is older than one before it, and where all are of one history. Committed states are; a starting state that is not installed yet may be given up with
/// its view. So chunks of a view's starting state count within that view only.
///
/// Owned by StartingState; free of I/O, not thread-safe. Memory: the rows that have come.
#pragma once

#include <optional>
#include <string>

#include "core/replicated_table.hpp"
#include "replica/messages.hpp"

namespace beechpoint::replica {

class ReceivedState {
public:
    /// Where the chunks come from.
    enum class Source { committedState, startingState };

    /// Another view is in force.
    void enterView();
    void clear();
    /// Writes into a request what has come.
    void describe(SyncRequest& request) const;
    /// Takes one chunk: the next one, or the first of a transfer that begins at a newer position. `reply.more`: what is still lacking is to be asked for.
    /// @return the complete update, where this was the last chunk; nothing too where the chunk does not fit, and nothing has changed then
    std::optional<TableUpdate> onChunk(const SyncReply& reply, Source source);

private:
    Position base_;
    Position newest_;       // of all chunks
    std::string afterKey_;  // of the last chunk; empty: nothing has come
    Table rows_;
    bool committedOnly_ = true;
};

}  // namespace beechpoint::replica
