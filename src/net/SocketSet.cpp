#include "net/SocketSet.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>

namespace bergamotweir::net {

namespace {

constexpr int MaxEventsPerWait = 64;

unsigned toEpollEvents(loop::Readiness interest)
{
    return (interest.readable ? static_cast<unsigned>(EPOLLIN) : 0)
           | (interest.writable ? static_cast<unsigned>(EPOLLOUT) : 0);
}

} // namespace

SocketSet::SocketSet(loop::EventLoop &loop, std::function<void(int, loop::Readiness)> onSocketReady)
    : loop(loop)
    , onSocketReady(std::move(onSocketReady))
    , epollFd(epoll_create1(EPOLL_CLOEXEC))
{
    this->loop.watch(this->epollFd, {.readable = true}, [this](loop::Readiness) {
        this->onReady();
    });
}

SocketSet::~SocketSet()
{
    this->loop.unwatch(this->epollFd);
    close(this->epollFd);
}

void SocketSet::watch(int socket, loop::Readiness interest)
{
    Entry &entry = this->entries[socket];
    entry.wantedEvents = toEpollEvents(interest);
    if (entry.wantedEvents != 0 && entry.wantedEvents != entry.registeredEvents) {
        this->updateRegistration(socket, entry, entry.wantedEvents);
    }
}

void SocketSet::remove(int socket)
{
    const auto found = this->entries.find(socket);
    if (found != this->entries.end()) {
        this->updateRegistration(socket, found->second, 0);
        this->entries.erase(found);
    }
}

void SocketSet::onReady()
{
    std::array<epoll_event, MaxEventsPerWait> events{};
    const int count = epoll_wait(this->epollFd, events.data(), MaxEventsPerWait, 0);
    for (int i = 0; i < count; ++i) {
        const int socket = events[i].data.fd;
        const auto found = this->entries.find(socket);
        if (found == this->entries.end()) {
            continue;
        }
        const unsigned wantedEvents = found->second.wantedEvents;
        if (wantedEvents == 0) {
            // An idle connection was closed by its peer, or has unsolicited bytes to read.
            this->updateRegistration(socket, found->second, 0);
            continue;
        }
        const bool hasError = (events[i].events & (EPOLLERR | EPOLLHUP)) != 0;
        const unsigned readyEvents = hasError ? wantedEvents : events[i].events & wantedEvents;
        if (readyEvents != 0) {
            this->onSocketReady(socket,
                                {.readable = (readyEvents & EPOLLIN) != 0, .writable = (readyEvents & EPOLLOUT) != 0});
        }
    }
}

void SocketSet::updateRegistration(int socket, Entry &entry, unsigned events) const
{
    if (entry.registeredEvents == events) {
        return;
    }
    epoll_event event{};
    event.events = events;
    event.data.fd = socket;
    const int operation = events == 0 ? EPOLL_CTL_DEL : entry.registeredEvents == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
    epoll_ctl(this->epollFd, operation, socket, &event);
    entry.registeredEvents = events;
}

} // namespace bergamotweir::net
