#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace bergamotweir::disk {

/**
 * The file system calls that can fail on a faulty or full disk. Owned by Storage; tests replace single ones.
 * Each returns 0 on success, otherwise the errno.
 */
struct FileOperations {
    /** Writes all bytes at the given offset. */
    std::function<int(int descriptor, const std::string &bytes, std::uint64_t offset)> write;
    /** Flushes the content of a file to stable storage. */
    std::function<int(int descriptor)> sync;
    /** Truncates a file to the given size. */
    std::function<int(int descriptor, std::uint64_t size)> truncate;
    /** Atomically replaces the file @p to by the file @p from. */
    std::function<int(const std::string &from, const std::string &to)> rename;
    /** Flushes the directory entries of a folder to stable storage. */
    std::function<int(const std::string &folder)> syncFolder;
};

/** @return the calls of the operating system */
FileOperations systemFileOperations();

} // namespace bergamotweir::disk
