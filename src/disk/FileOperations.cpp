#include "disk/FileOperations.h"

#include <cerrno>
#include <cstdio>

#include <fcntl.h>
#include <unistd.h>

namespace bergamotweir::disk {

namespace {

int writeAll(int descriptor, const std::string &bytes, std::uint64_t offset)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t count =
            pwrite(descriptor, bytes.data() + written, bytes.size() - written, static_cast<off_t>(offset + written));
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            return count == 0 ? ENOSPC : errno;
        }
        written += static_cast<std::size_t>(count);
    }
    return 0;
}

int syncFolder(const std::string &folder)
{
    const int descriptor = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) {
        return errno;
    }
    const int error = fsync(descriptor) == 0 ? 0 : errno;
    close(descriptor);
    return error;
}

} // namespace

FileOperations systemFileOperations()
{
    FileOperations operations;
    operations.write = writeAll;
    operations.sync = [](int descriptor) {
        return fdatasync(descriptor) == 0 ? 0 : errno;
    };
    operations.truncate = [](int descriptor, std::uint64_t size) {
        return ftruncate(descriptor, static_cast<off_t>(size)) == 0 ? 0 : errno;
    };
    operations.rename = [](const std::string &from, const std::string &to) {
        return std::rename(from.c_str(), to.c_str()) == 0 ? 0 : errno;
    };
    operations.syncFolder = syncFolder;
    return operations;
}

} // namespace bergamotweir::disk
