#include "disk/ChecksummedFile.h"

#include "disk/Record.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>

#include <fcntl.h>
#include <unistd.h>

namespace bergamotweir::disk {

namespace {

constexpr int FileMode = 0600;

int writeAndSync(const FileOperations &files, const std::string &path, const std::string &bytes)
{
    const int descriptor = open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FileMode);
    if (descriptor < 0) {
        return errno;
    }
    int error = files.write(descriptor, bytes, 0);
    if (error == 0) {
        error = files.sync(descriptor);
    }
    close(descriptor);
    return error;
}

} // namespace

Findings ioFinding(const std::filesystem::path &file, std::uint64_t offset, const std::string &what, int error)
{
    return oneFinding(file.string() + ", offset " + std::to_string(offset),
                      what + " failed: " + std::generic_category().message(error));
}

Result<std::string> readFile(const std::filesystem::path &file)
{
    std::ifstream stream(file, std::ios::binary);
    std::string bytes((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    if (!stream.is_open() || stream.bad()) {
        return oneFinding(file.string(), "can't be read");
    }
    return bytes;
}

Findings writeChecksummedFile(const FileOperations &files, const std::filesystem::path &file, std::string_view content)
{
    const std::string temporaryPath = file.string() + ".new";
    int error = writeAndSync(files, temporaryPath, prependChecksum(content));
    if (error != 0) {
        return ioFinding(temporaryPath, 0, "writing", error);
    }
    error = files.rename(temporaryPath, file.string());
    if (error == 0) {
        error = files.syncFolder(file.parent_path().string());
    }
    if (error != 0) {
        return ioFinding(file, 0, "replacing", error);
    }
    return {};
}

Result<std::string> readChecksummedFile(const std::filesystem::path &file)
{
    const Result<std::string> checksummed = readFile(file);
    if (!checksummed) {
        return checksummed.error();
    }
    std::optional<std::string> content = stripChecksum(checksummed.value());
    if (!content) {
        return oneFinding(
            file.string() + ", offset 0", "checksum differs: the file is corrupt", "replace this replica");
    }
    return std::move(*content);
}

} // namespace bergamotweir::disk
