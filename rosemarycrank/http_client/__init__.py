"""HTTP client that sends each request once."""

from rosemarycrank.http_client import _client

AnswerLost = _client.AnswerLost
AnswerTruncated = _client.AnswerTruncated
Client = _client.Client
ConnectFailed = _client.ConnectFailed
HttpError = _client.HttpError
Response = _client.Response

__all__ = [
    'AnswerLost',
    'AnswerTruncated',
    'Client',
    'ConnectFailed',
    'HttpError',
    'Response',
]
