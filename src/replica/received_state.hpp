/// Assembles a full table that is received in chunks ordered by key (SyncReply). The chunks may be sent at different positions
/// of the table while writes continue: each row is as of the time its chunk was sent, and the last chunk adds all changes since
/// the first one, so the result is the table at the last chunk's position (a fuzzy snapshot with its log, as in ARIES).
///
/// This requires that no chunk is older than its predecessor and that all belong to one history. Committed states do; a starting
/// state that is not installed yet may be discarded with its view. So chunks of a starting state are valid only in its view.
///
/// Owned by StartingState; performs no I/O; not thread-safe. Holds the received rows in memory.
#pragma once

#include <optional>
#include <string>

#include "core/replicated_table.hpp"
#include "replica/messages.hpp"

namespace beechpoint::replica {

class ReceivedState {
public:
    /// State that the chunks are taken from.
    enum class Source { committedState, startingState };

    /// Called when another view takes effect.
    void enterView();
    void clear();
    /// Sets the progress of the transfer in a request.
    void describe(SyncRequest& request) const;
    /// Adds one chunk: the next one, or the first of a transfer that starts at a newer position. If `reply.more` is set, the
    /// remaining rows must be requested.
    /// A transfer of committed states is abandoned when a member of the view, asked for its starting state, cannot continue it.
    /// @return the complete update after the last chunk, else nullopt; any other chunk that does not fit changes nothing
    std::optional<TableUpdate> onChunk(const SyncReply& reply, Source source);

private:
    bool fits(const SyncReply& reply) const;

    Position base_;
    Position newest_;       // of all chunks
    std::string afterKey_;  // of the last chunk; empty: nothing received
    Table rows_;
    bool committedOnly_ = true;
};

}  // namespace beechpoint::replica
