#include "FetchAll.h"

#include <curl/curl.h>

#include <algorithm>
#include <memory>
#include <span>

namespace bergamotweir::cli {

namespace {

constexpr std::size_t MaxConcurrentTransfers = 64;
constexpr std::size_t MaxDocumentBytes = std::size_t{4} << 20U;
constexpr std::chrono::milliseconds MaxPollInterval{100};

using Multi = std::unique_ptr<CURLM, decltype(&curl_multi_cleanup)>;
using Easy = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;

/** Transfer of one document. */
struct Transfer {
    Easy handle{nullptr, curl_easy_cleanup};
    std::string document;
    CURLcode code = CURLE_FAILED_INIT;
};

std::size_t appendBytes(const char *bytes, std::size_t itemBytes, std::size_t count, void *document)
{
    auto &text = *static_cast<std::string *>(document);
    if (text.size() + itemBytes * count > MaxDocumentBytes) {
        return 0;
    }
    text.append(bytes, itemBytes * count);
    return itemBytes * count;
}

void startTransfer(Transfer &transfer, const std::string &url, std::chrono::milliseconds timeout, CURLM *multi)
{
    transfer.handle.reset(curl_easy_init());
    CURL *handle = transfer.handle.get();
    if (handle == nullptr) {
        return;
    }
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_FAILONERROR, 1L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, appendBytes);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer.document);
    curl_easy_setopt(handle, CURLOPT_PRIVATE, &transfer);
    curl_multi_add_handle(multi, handle);
}

void collectCompleted(CURLM *multi)
{
    int remaining = 0;
    while (const CURLMsg *message = curl_multi_info_read(multi, &remaining)) {
        Transfer *transfer = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        transfer->code = message->data.result;
    }
}

void runTransfers(CURLM *multi)
{
    for (int running = 1; running > 0;) {
        if (curl_multi_perform(multi, &running) != CURLM_OK) {
            return;
        }
        collectCompleted(multi);
        if (running > 0) {
            curl_multi_poll(multi, nullptr, 0, static_cast<int>(MaxPollInterval.count()), nullptr);
        }
    }
}

/** @param urls at most MaxConcurrentTransfers */
void fetchBatch(std::span<const std::string> urls,
                std::chrono::milliseconds timeout,
                std::vector<Result<std::string>> &results)
{
    const Multi multi(curl_multi_init(), curl_multi_cleanup);
    // Must not reallocate: the handles hold pointers to their transfers.
    std::vector<Transfer> transfers(urls.size());
    for (std::size_t i = 0; i < urls.size(); ++i) {
        startTransfer(transfers[i], urls[i], timeout, multi.get());
    }
    runTransfers(multi.get());
    for (std::size_t i = 0; i < urls.size(); ++i) {
        if (transfers[i].handle != nullptr) {
            curl_multi_remove_handle(multi.get(), transfers[i].handle.get());
        }
        if (transfers[i].code == CURLE_OK) {
            results.emplace_back(std::move(transfers[i].document));
        } else {
            results.emplace_back(oneFinding(urls[i], curl_easy_strerror(transfers[i].code)));
        }
    }
}

} // namespace

std::vector<Result<std::string>> fetchAll(const std::vector<std::string> &urls, std::chrono::milliseconds timeout)
{
    std::vector<Result<std::string>> results;
    results.reserve(urls.size());
    for (std::span<const std::string> remaining(urls); !remaining.empty();) {
        const std::size_t count = std::min(remaining.size(), MaxConcurrentTransfers);
        fetchBatch(remaining.first(count), timeout, results);
        remaining = remaining.subspan(count);
    }
    return results;
}

} // namespace bergamotweir::cli
