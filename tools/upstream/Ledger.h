#pragma once

#include "base/Result.h"
#include "net/HttpRequest.h"

#include <cstdint>
#include <memory>
#include <string>

namespace bergamotweir::upstream {

/**
 * The file that tells what really ran: one line per execution, written when it starts, and one when it ends.
 * Each line is one write() to the kernel, so it survives the death of the process, though not of the VM.
 */
class Ledger
{
public:
    /** @param path appended to; empty for a ledger that keeps nothing */
    static Result<std::unique_ptr<Ledger>> open(const std::string &path, const std::string &upstream);
    ~Ledger();
    Ledger(const Ledger &) = delete;
    Ledger &operator=(const Ledger &) = delete;

    /** @return the execution's number */
    std::uint64_t started(const net::HttpRequest &request);

    /** @param how done, cancelled or deadline; the line holds the number alone, so that ids occur once per run */
    void ended(std::uint64_t run, const char *how);

private:
    Ledger(int file, std::string upstream);
    void write(const std::string &line) const;

    int file;
    std::string upstream;
    std::uint64_t lastRun = 0;
};

} // namespace bergamotweir::upstream
