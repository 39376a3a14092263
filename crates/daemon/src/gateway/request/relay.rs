//! Forwarding of event streams from an engine to a client.
//!
//! Only complete events are forwarded, as they arrive. If a stream breaks and its
//! route allows it, the stream is resumed on another engine after the last
//! forwarded event. Otherwise the client connection is closed, so that the client
//! doesn't take the partial stream for a complete one.

use bytes::Bytes;
use cyclamengauge_core::serving::targets::Outcome;
use http::{HeaderValue, header::CONTENT_TYPE};

use crate::{
    gateway::{
        attempt::{
            self, AttemptError, ClientRequest, EventBatch, EventReader, InProgressGuard,
            ResponseTimeouts, StreamError,
        },
        request::attempts::Attempts,
    },
    telemetry::trace::TraceEvent,
};

/// A stream that is being forwarded to a client.
pub struct Relay {
    request: ClientRequest,
    attempts: Attempts,
    events: EventReader,
    /// Last event id of the latest forwarded batch; none if the batch has no id,
    /// which rules out a resumption.
    last_event_id: Option<u64>,
    /// Type of the first engine's response, in its head at the client.
    content_type: Option<HeaderValue>,
    /// Whether the current engine has sent an event.
    engine_sent_event: bool,
    _in_progress: InProgressGuard,
}

impl Relay {
    /// Creates the relay for the rest of a stream after its `first` events.
    pub fn new(
        request: ClientRequest,
        attempts: Attempts,
        events: EventReader,
        first: &EventBatch,
        in_progress: InProgressGuard,
    ) -> Self {
        let content_type = events.content_type().cloned();
        Self {
            request,
            attempts,
            events,
            content_type,
            last_event_id: first.last_event_id,
            engine_sent_event: true,
            _in_progress: in_progress,
        }
    }

    /// Returns the next complete events; `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// If the stream broke and can't be resumed on another engine.
    pub async fn next(&mut self) -> Result<Option<Bytes>, StreamError> {
        loop {
            let waited_from = self.attempts.gateway.clock.now();
            match self.next_from_engine().await {
                Ok(Some(batch)) => {
                    self.engine_sent_event = true;
                    self.events.in_flight().record_event(waited_from);
                    self.attempts.record_event();
                    self.last_event_id = batch.last_event_id;
                    return Ok(Some(batch.bytes));
                }
                Ok(None) => {
                    self.events.set_outcome(Outcome::Served);
                    match self.events.has_marked_end() {
                        true => self.attempts.record_written_stream(&self.request),
                        false => attempt::suspect_crash(
                            &self.attempts.gateway,
                            &self.request,
                            self.events.in_flight(),
                        ),
                    }
                    self.attempts.record_completion(&self.request);
                    return Ok(None);
                }
                Err(err) => {
                    if let Err(err) = self.resume_on_another_engine(err).await {
                        self.attempts.record_cut_off(&self.request);
                        return Err(err);
                    }
                }
            }
        }
    }

    async fn next_from_engine(&mut self) -> Result<Option<EventBatch>, StreamError> {
        let (gateway, outlook) = (&self.attempts.gateway, self.attempts.outlook(&self.request));
        let timeouts = match self.engine_sent_event {
            true => ResponseTimeouts::for_next_event(gateway, &self.request, outlook),
            false => ResponseTimeouts::for_first_event(gateway, &self.request, outlook),
        };
        self.events
            .next_with_timeout(
                &self.attempts.gateway,
                &self.request,
                timeouts,
                self.last_event_id,
            )
            .await
    }

    /// Requests the rest of the stream from another engine. Returns `stream_error`
    /// if the stream can't be resumed.
    async fn resume_on_another_engine(
        &mut self,
        stream_error: StreamError,
    ) -> Result<(), StreamError> {
        let target = self.events.in_flight().target.clone();
        self.request.trace.add(TraceEvent::StreamBroke {
            target: target.clone(),
            last_event_id: self.last_event_id,
            cause: stream_error.to_string(),
        });
        if stream_error.is_possible_crash() {
            attempt::suspect_crash(
                &self.attempts.gateway,
                &self.request,
                self.events.in_flight(),
            );
        }
        let Some(last_event_id) = self.last_event_id else {
            return Err(stream_error);
        };
        let resume_after = HeaderValue::from(last_event_id);
        if self
            .attempts
            .record_failure(&self.request, &target, AttemptError::Broken)
            .is_err()
        {
            return Err(stream_error);
        }
        let opened = self
            .attempts
            .open_exchange(&self.request, Some(&resume_after))
            .await;
        let Ok(exchange) = opened else {
            return Err(stream_error);
        };
        // A success of another kind, such as the text of an error, is not the rest.
        let content_type = exchange.response.headers().get(CONTENT_TYPE);
        let is_stream = content_type == self.content_type.as_ref();
        if !exchange.response.status().is_success() || !is_stream {
            return Err(stream_error);
        }
        self.request.trace.add(TraceEvent::Resumed {
            target: exchange.in_flight.target.clone(),
            last_event_id,
        });
        self.events = EventReader::new(&self.attempts.gateway, &self.request, exchange);
        self.engine_sent_event = false;
        Ok(())
    }
}
