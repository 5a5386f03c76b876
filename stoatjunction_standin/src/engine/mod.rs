//! An engine: continuous batching with unlike rates, a limited prefix cache, reports that lag.

mod model;
mod record;
mod server;

pub use self::model::{EngineModel, EngineRequest, EngineSettings, Token};
pub use self::record::{EngineRecord, Start};
pub use self::server::{ChunkFault, Engine, EngineServer, PromptRequest, expected_answer};
