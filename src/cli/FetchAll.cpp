#include "FetchAll.h"

#include <curl/curl.h>

#include <algorithm>
#include <memory>
#include <span>

namespace bergamotweir::cli {

namespace {

constexpr std::size_t MostAtOnce = 64;
constexpr std::size_t MaxDocumentBytes = std::size_t{4} << 20U;
constexpr std::chrono::milliseconds LongestPoll{100};

using Multi = std::unique_ptr<CURLM, decltype(&curl_multi_cleanup)>;
using Easy = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;

/** One document on its way. */
struct Transfer {
    Easy handle{nullptr, curl_easy_cleanup};
    std::string document;
    CURLcode code = CURLE_FAILED_INIT;
};

std::size_t appendBytes(const char *bytes, std::size_t one, std::size_t count, void *document)
{
    auto &text = *static_cast<std::string *>(document);
    if (text.size() + one * count > MaxDocumentBytes) {
        return 0;
    }
    text.append(bytes, one * count);
    return one * count;
}

void begin(Transfer &transfer, const std::string &url, std::chrono::milliseconds timeout, CURLM *multi)
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

void takeEnded(CURLM *multi)
{
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(multi, &left)) {
        Transfer *transfer = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        transfer->code = message->data.result;
    }
}

void perform(CURLM *multi)
{
    for (int running = 1; running > 0;) {
        if (curl_multi_perform(multi, &running) != CURLM_OK) {
            return;
        }
        takeEnded(multi);
        if (running > 0) {
            curl_multi_poll(multi, nullptr, 0, static_cast<int>(LongestPoll.count()), nullptr);
        }
    }
}

/** @param urls at most MostAtOnce */
void fetchSome(std::span<const std::string> urls,
               std::chrono::milliseconds timeout,
               std::vector<Result<std::string>> &results)
{
    const Multi multi(curl_multi_init(), curl_multi_cleanup);
    // Never moved: the handles point at their transfers.
    std::vector<Transfer> transfers(urls.size());
    for (std::size_t i = 0; i < urls.size(); ++i) {
        begin(transfers[i], urls[i], timeout, multi.get());
    }
    perform(multi.get());
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
    for (std::span<const std::string> left(urls); !left.empty();) {
        const std::size_t count = std::min(left.size(), MostAtOnce);
        fetchSome(left.first(count), timeout, results);
        left = left.subspan(count);
    }
    return results;
}

} // namespace bergamotweir::cli
