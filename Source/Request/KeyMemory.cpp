#include "Request/KeyMemory.h"

#include <algorithm>

namespace wisteria {

namespace {

std::size_t sizeOf(const StoredAnswer &answer)
{
    return answer.body.size() + answer.contentType.size();
}

void dropAnswer(KeyMemory &memory, KeyRecord &record)
{
    if (!record.answer)
        return;
    memory.answerBytes -= sizeOf(*record.answer);
    record.answer.reset();
}

/// Removes the oldest key. The floor rises to its time, so that a repeat of it does not run.
void evictOldest(KeyMemory &memory)
{
    const auto oldest = memory.records.begin();
    memory.floor = std::max(memory.floor, oldest->first.first);
    dropAnswer(memory, oldest->second);
    memory.records.erase(oldest);
}

void dropOldestAnswer(KeyMemory &memory)
{
    if (KeyRecord *record = findKey(memory, memory.answerOrder.front()))
        dropAnswer(memory, *record);
    memory.answerOrder.pop_front();
}

} // namespace

KeyId keyId(WallTime time, const std::string &organisation, const std::string &key)
{
    return {time, organisation + '\0' + key};
}

KeyRecord &findOrAddKey(KeyMemory &memory, const KeyId &id)
{
    const auto found = memory.records.find(id);
    if (found != memory.records.end())
        return found->second;
    // This may raise the floor above a new key that is older than all recorded ones. It is refused
    // then, whether it is recorded or not.
    if (memory.records.size() >= maxKeys)
        evictOldest(memory);
    return memory.records[id];
}

KeyRecord *findKey(KeyMemory &memory, const KeyId &id)
{
    const auto found = memory.records.find(id);
    return found == memory.records.end() ? nullptr : &found->second;
}

void storeAnswer(KeyMemory &memory, const KeyId &id, StoredAnswer answer)
{
    KeyRecord *record = findKey(memory, id);
    const std::size_t bytes = sizeOf(answer);
    if (!record || bytes > maxStoredAnswerBytes)
        return;
    dropAnswer(memory, *record);
    record->answer = std::move(answer);
    memory.answerBytes += bytes;
    memory.answerOrder.push_back(id);
    while (memory.answerBytes > maxStoredBytes || memory.answerOrder.size() > maxKeys)
        dropOldestAnswer(memory);
}

} // namespace wisteria
