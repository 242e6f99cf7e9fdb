#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace bergamotweir::disk {

/**
 * The file calls that can fail on a bad or full disk. Held by Storage; tests replace single ones.
 * Each returns 0, or the errno.
 */
struct FileOperations {
    /** Writes all bytes at an offset. */
    std::function<int(int descriptor, const std::string &bytes, std::uint64_t offset)> write;
    /** Makes a file's content durable. */
    std::function<int(int descriptor)> sync;
    /** Cuts a file. */
    std::function<int(int descriptor, std::uint64_t size)> truncate;
    /** Replaces one file by another at once. */
    std::function<int(const std::string &from, const std::string &to)> rename;
    /** Makes the names in a folder durable. */
    std::function<int(const std::string &folder)> syncFolder;
};

/** @return the operating system's calls */
FileOperations systemFileOperations();

} // namespace bergamotweir::disk
