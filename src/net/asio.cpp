// Asio's own code, compiled once here and not again in every file that includes it.
#include <asio/impl/src.hpp>
