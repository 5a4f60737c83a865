"""Load driver, its HTTP client, and the checker of histories."""

from rosemarycrank.load import _client
from rosemarycrank.load import _records

Client = _client.Client
NoAnswer = _client.NoAnswer
NotSent = _client.NotSent
Response = _client.Response
RunEvent = _records.RunEvent
answer_digest = _records.answer_digest
request_digest = _records.request_digest

__all__ = [
    'Client',
    'NoAnswer',
    'NotSent',
    'Response',
    'RunEvent',
    'answer_digest',
    'request_digest',
]
