#include "storage/mapped_file.hpp"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>

namespace beechpoint::storage {

MappedFile::MappedFile(const std::filesystem::path& file) {
    const int descriptor = ::open(file.c_str(), O_RDONLY | O_CLOEXEC);
    struct stat status {};
    if (descriptor >= 0 && ::fstat(descriptor, &status) == 0) {
        size_ = static_cast<std::size_t>(status.st_size);
        // An empty file cannot be mapped.
        if (size_ != 0) address_ = ::mmap(nullptr, size_, PROT_READ, MAP_SHARED, descriptor, 0);
        good_ = address_ != MAP_FAILED;
    }
    error_ = errno;  // before close() may change it
    if (descriptor >= 0) ::close(descriptor);
}

MappedFile::~MappedFile() {
    if (good_ && address_) ::munmap(address_, size_);
}

}  // namespace beechpoint::storage
