/// Bytes as LMDB takes and gives them.
#pragma once

#include <lmdb.h>

#include <string_view>

namespace beechpoint::storage {

/// Valid until the transaction that gave it writes or ends.
[[nodiscard]] inline std::string_view fromLmdb(const MDB_val& value) {
    return {static_cast<const char*>(value.mv_data), value.mv_size};
}

/// LMDB's type has no const; it does not write to keys and values that it is given.
[[nodiscard]] inline MDB_val toLmdb(std::string_view bytes) {
    return {bytes.size(), const_cast<char*>(bytes.data())};
}

}  // namespace beechpoint::storage
