#include "Ledger.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <chrono>

namespace bergamotweir::upstream {

namespace {

std::int64_t unixMicros()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

std::string valueOf(const net::HttpRequest &request, const char *name)
{
    const std::string *value = net::findHeader(request.headers, name);
    return value == nullptr ? std::string() : *value;
}

} // namespace

Result<std::unique_ptr<Ledger>> Ledger::open(const std::string &path, const std::string &upstream)
{
    int file = -1;
    if (!path.empty()) {
        constexpr int Mode = 0644;
        file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, Mode);
        if (file < 0) {
            return oneFinding("--ledger", "'" + path + "' cannot be opened");
        }
    }
    return std::unique_ptr<Ledger>(new Ledger(file, upstream));
}

Ledger::Ledger(int file, std::string upstream)
    : file(file)
    , upstream(std::move(upstream))
{
}

Ledger::~Ledger()
{
    if (this->file >= 0) {
        close(this->file);
    }
}

std::uint64_t Ledger::started(const net::HttpRequest &request)
{
    const std::uint64_t run = ++this->lastRun;
    if (this->file < 0) {
        return run;
    }
    this->write(nlohmann::json{{"run", run},
                               {"upstream", this->upstream},
                               {"request", valueOf(request, "Request-Id")},
                               {"test_id", valueOf(request, "Test-Id")},
                               {"key", valueOf(request, "Routing-Key")},
                               {"epoch", valueOf(request, "Grant-Epoch")},
                               {"idempotency_key", valueOf(request, "Idempotency-Key")},
                               {"method", request.method},
                               {"path", request.target},
                               {"at_us", unixMicros()}}
                    .dump(-1, ' ', true, nlohmann::json::error_handler_t::replace));
    return run;
}

void Ledger::ended(std::uint64_t run, const char *how)
{
    if (this->file >= 0) {
        this->write(nlohmann::json{{"ended", run}, {"how", how}, {"at_us", unixMicros()}}.dump());
    }
}

void Ledger::write(const std::string &line) const
{
    const std::string whole = line + "\n";
    if (::write(this->file, whole.data(), whole.size()) != static_cast<ssize_t>(whole.size())) {
        // A stand-in that can't keep its ledger must not go on as a witness.
        _exit(1);
    }
}

} // namespace bergamotweir::upstream
